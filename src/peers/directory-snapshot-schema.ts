/** The wire format in which processes send their directory to each other. */
import {z} from 'zod';
import {addressSchema} from '../links/address.ts';
import {
	announcedVersionSchema, directoryRevisionsSchema, evacuationsSchema, storeEraSchema,
} from '../messages/peers-exchange.ts';

/** The state of the requesting process, and whether it needs only the services. */
export const directoryGetParamsSchema = directoryRevisionsSchema.extend({servicesOnly: z.boolean().default(false)});

/** Absent in messages of processes that do not know home regions. */
const homeRegionsSchema = z.array(z.string()).optional();

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['idempotent', 'once', 'stream']),
	timeoutMs: z.number(),
	aimMs: z.number(),
	attempts: z.number(),
	priority: z.number(),
	isPublic: z.boolean(),
	isResumable: z.boolean(),
	homeRegions: homeRegionsSchema,
	targets: z.array(z.object({service: z.string(), weight: z.number()})),
});

const engineSchema = z.object({
	slots: z.number(),
	stepMs: z.number(),
	perCallMs: z.number(),
	contextMsPerKilotoken: z.number(),
	readTokensPerMs: z.number(),
	stepsPerPass: z.number(),
	usualPromptTokens: z.number(),
	usualAnswerTokens: z.number(),
	layers: z.number(),
	chunkCount: z.number(),
	chunkBytes: z.number(),
	models: z.array(z.string()),
});

const serviceSchema = z.object({
	name: z.string(),
	maxConnections: z.number(),
	cold: z.object({startMs: z.number(), callsPerSecond: z.number().positive()}).optional(),
	engine: engineSchema.optional(),
	origin: z.object({address: addressSchema, linkBytesPerSecond: z.number(), maxConnections: z.number()}).optional(),
});

const keyHolderSchema = z.object({workspace: z.string(), priority: z.number().optional(), homeRegions: homeRegionsSchema});

const configurationSchema = z.object({
	version: z.number(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	limits: z.object({
		headerBytes: z.number(), bodyBytes: z.number(), headerTimeoutMs: z.number(), idleTimeoutMs: z.number(),
	}),
	keys: z.record(z.string(), keyHolderSchema).optional(),
});

const configurationDeltaSchema = configurationSchema.omit({routes: true}).extend({
	base: z.number(),
	changedRoutes: z.array(routeSchema),
	removedRoutes: z.array(z.string()),
});

const revisionSchema = z.object({revision: z.number(), era: storeEraSchema.optional()});

const eraRecordSchema = z.object({
	era: storeEraSchema, copyRevision: z.number(), revision: z.number(), lastChange: z.number(),
});

const instanceSchema = revisionSchema.extend({
	id: z.string(),
	service: z.string(),
	address: addressSchema,
	zone: z.string(),
	isDraining: z.boolean(),
	slots: z.number(),
	startedAtMs: z.number(),
	held: z.array(z.object({
		model: z.string(), version: z.number(), fromLayer: z.number(), toLayer: z.number(),
	})),
	coldLeftMs: z.number().optional(),
});

/** The parts that are newer than those of the requesting process. */
export const directorySnapshotSchema = z.object({
	configuration: configurationSchema.optional(),
	versions: z.array(announcedVersionSchema),
	evacuations: evacuationsSchema.optional(),
	configurationDelta: configurationDeltaSchema.optional(),
	instances: revisionSchema.extend({
		since: z.number().optional(),
		instances: z.array(instanceSchema),
		gone: z.array(revisionSchema.extend({id: z.string()})),
		unconfirmed: z.array(revisionSchema.extend({id: z.string(), ageMs: z.number()})),
		copyRevision: z.number().optional(),
		earlier: z.array(eraRecordSchema).optional(),
	}).optional(),
});
