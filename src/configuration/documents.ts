/** The published documents: one schema per path pattern. */
import {z} from 'zod';

const idText = z.string().regex(/^[\w.:-]{1,128}$/, 'must be 1 to 128 letters, digits, dots, dashes, underscores or colons');
const digestText = z.string().regex(/^[\da-f]{64}$/, 'must be 64 lower-case hexadecimal digits');

/** Priorities of calls, most urgent first. */
export const priorities = ['high', 'normal', 'low'] as const;

/** A priority of a call. */
export type Priority = (typeof priorities)[number];

/** `/teams/WORKSPACE/limits`: the share that a workspace has. */
export const workspaceLimitsSchema = z.strictObject({
	/** Share relative to other workspaces when calls wait. */
	weight: z.number().positive().default(1),
	/** Calls of this workspace that one entry runs at once. */
	max_concurrent: z.number().int().positive().default(256),
	default_priority: z.enum(priorities).default('normal'),
});

/** `/teams/WORKSPACE/routes/NAME`: where a workspace's requests of that name go. */
export const routeSchema = z.strictObject({
	service: idText,
	model: idText.optional(),
	/** A fixed version; the model's `serve` version when absent. */
	version: idText.optional(),
	adapter: idText.optional(),
	priority: z.enum(priorities).optional(),
});

/** `/models/MODEL`: the versions of a model and how to roll them out. */
export const modelSchema = z.strictObject({
	/** The version that calls should get. */
	serve: idText,
	/** The version to use until `serve` is servable. */
	previous: idText.optional(),
	versions: z.record(idText, z.strictObject({
		manifest: digestText,
		adapters: z.array(idText).default([]),
	})),
	objective: z.enum(['time', 'origin-bytes']).default('time'),
}).refine(model => model.serve in model.versions, {error: 'names a version that is not in versions', path: ['serve']});

/** `/services/SERVICE`: a service and its operations. */
export const serviceSchema = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	operations: z.record(idText, z.strictObject({
		/** Whether a call may run more than once without harm. */
		repeatable: z.boolean(),
		timeout_ms: z.number().int().positive().default(30_000),
	})).default({}),
	max_concurrent_per_worker: z.number().int().positive().optional(),
});

/** `/system/transfer`: limits of weight transfers. */
export const transferSchema = z.strictObject({
	/** Longest time without progress on one chunk, in milliseconds. */
	chunk_timeout_ms: z.number().int().positive().default(5000),
	/** How long each further owner waits before it reads the origin, in milliseconds. */
	step_in_ms: z.number().int().positive().default(3000),
	/** How many copies of a version one VM may send on. */
	upload_copies: z.number().positive().default(1.05),
	/** The share of the link that transfers may use. */
	link_share: z.number().positive().max(1).default(0.8),
});

/** A document of a workspace's limits. */
export type WorkspaceLimits = z.infer<typeof workspaceLimitsSchema>;

/** A document of a route. */
export type Route = z.infer<typeof routeSchema>;

/** A document of a model. */
export type Model = z.infer<typeof modelSchema>;

/** A document of a service. */
export type Service = z.infer<typeof serviceSchema>;

/** A document of transfer limits. */
export type TransferLimits = z.infer<typeof transferSchema>;

/** Path patterns with the schema of their documents. */
export const documentSchemas = [
	{pattern: /^\/teams\/([\w.:-]+)\/limits$/, schema: workspaceLimitsSchema},
	{pattern: /^\/teams\/([\w.:-]+)\/routes\/([\w.:-]+)$/, schema: routeSchema},
	{pattern: /^\/models\/([\w.:-]+)$/, schema: modelSchema},
	{pattern: /^\/services\/([\w.:-]+)$/, schema: serviceSchema},
	{pattern: /^\/system\/transfer$/, schema: transferSchema},
] as const;
