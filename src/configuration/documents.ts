/** Schemas of the published documents, one per path pattern. */
import {z} from 'zod';

const idSchema = z.string().regex(/^[\w.:-]{1,128}$/, 'must be 1 to 128 letters, digits, dots, dashes, underscores or colons');
const digestSchema = z.string().regex(/^[\da-f]{64}$/, 'must be 64 lower-case hexadecimal digits');

/** Call priorities, highest first. */
export const priorities = ['high', 'normal', 'low'] as const;

/** The priority of a call. */
export type Priority = (typeof priorities)[number];

/** `/teams/WORKSPACE/limits`: the scheduling weight and call limits of a workspace. */
export const workspaceLimitsSchema = z.strictObject({
	/** Weight of the workspace in fair queueing when calls wait. */
	weight: z.number().positive().default(1),
	/** Maximum number of concurrent calls of the workspace per entry process. */
	max_concurrent: z.number().int().positive().default(256),
	default_priority: z.enum(priorities).default('normal'),
});

/** `/teams/WORKSPACE/routes/NAME`: the service that handles a workspace's requests to the route NAME. */
export const routeSchema = z.strictObject({
	service: idSchema,
	model: idSchema.optional(),
	/** Pins a model version; the model's `serve` version is used when absent. */
	version: idSchema.optional(),
	adapter: idSchema.optional(),
	priority: z.enum(priorities).optional(),
});

/** `/models/MODEL`: the versions of a model and their rollout. */
export const modelSchema = z.strictObject({
	/** The version that serves calls. */
	serve: idSchema,
	/** The version that serves calls until `serve` can. */
	previous: idSchema.optional(),
	versions: z.record(idSchema, z.strictObject({
		/** Digest of the manifest of the version's weights. */
		manifest: digestSchema,
		adapters: z.array(idSchema).default([]),
	})),
	/** Whether the rollout minimizes its duration or the bytes read from the origin. */
	objective: z.enum(['time', 'origin-bytes']).default('time'),
}).refine(model => model.serve in model.versions, {error: 'names a version that is not in versions', path: ['serve']});

/** `/services/SERVICE`: a service and its operations. */
export const serviceSchema = z.strictObject({
	kind: z.enum(['engine', 'plain']),
	operations: z.record(idSchema, z.strictObject({
		/** Whether the operation is idempotent, so that a call may run more than once. */
		repeatable: z.boolean(),
		timeout_ms: z.number().int().positive().default(30_000),
	})).default({}),
	max_concurrent_per_worker: z.number().int().positive().optional(),
});

/** `/system/transfer`: limits of weight transfers. */
export const transferSchema = z.strictObject({
	/** Timeout of a chunk transfer without progress, in milliseconds. */
	chunk_timeout_ms: z.number().int().positive().default(5000),
	/** Added delay per owner rank before the next owner of a chunk reads it from the origin, in milliseconds. */
	step_in_ms: z.number().int().positive().default(3000),
	/** Upload budget of a VM for one version, as a multiple of the version's size. */
	upload_copies: z.number().positive().default(1.05),
	/** Share of the link's bandwidth that transfers may use. */
	link_share: z.number().positive().max(1).default(0.8),
});

/** The parsed document at `/teams/WORKSPACE/limits`. */
export type WorkspaceLimits = z.infer<typeof workspaceLimitsSchema>;

/** The parsed document at `/teams/WORKSPACE/routes/NAME`. */
export type Route = z.infer<typeof routeSchema>;

/** The parsed document at `/models/MODEL`. */
export type Model = z.infer<typeof modelSchema>;

/** The parsed document at `/services/SERVICE`. */
export type Service = z.infer<typeof serviceSchema>;

/** The parsed document at `/system/transfer`. */
export type TransferLimits = z.infer<typeof transferSchema>;

/** Path patterns and the schemas of their documents. */
export const documentSchemas = [
	{pattern: /^\/teams\/([\w.:-]+)\/limits$/, schema: workspaceLimitsSchema},
	{pattern: /^\/teams\/([\w.:-]+)\/routes\/([\w.:-]+)$/, schema: routeSchema},
	{pattern: /^\/models\/([\w.:-]+)$/, schema: modelSchema},
	{pattern: /^\/services\/([\w.:-]+)$/, schema: serviceSchema},
	{pattern: /^\/system\/transfer$/, schema: transferSchema},
] as const;
