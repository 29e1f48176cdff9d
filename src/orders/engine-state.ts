/** The state that a model engine reports; it lags. */
import {z} from 'zod';

/** The answer of `GET /v1/state`. */
export const engineStateSchema = z.object({
	/** The highest fencing number that the engine has seen. */
	fence: z.number(),
	served: z.array(z.object({
		model: z.string(), version: z.string(), manifest: z.string(), adapters: z.array(z.string()),
	})),
	running: z.number(),
	queued: z.number(),
	capacity: z.number(),
	loading: z.array(z.string()).default([]),
});

/** The state that a model engine reports. */
export type EngineState = z.infer<typeof engineStateSchema>;
