/** The state that a model engine reports. It may lag behind the engine's work. */
import {z} from 'zod';

/** Schema of the response to `GET /v1/state`. */
export const engineStateSchema = z.object({
	/** The highest fencing token that the engine has seen. */
	fence: z.number(),
	served: z.array(z.object({
		model: z.string(), version: z.string(), manifest: z.string(), adapters: z.array(z.string()),
	})),
	running: z.number(),
	queued: z.number(),
	capacity: z.number(),
	loading: z.array(z.string()).default([]),
});

/** A parsed engine state. */
export type EngineState = z.infer<typeof engineStateSchema>;
