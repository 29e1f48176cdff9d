/** The load and state report of an agent. Entries ask for it, and a copy rides on each answer. */
import {z} from 'zod';

/** The JSON-RPC method that returns the report. */
export const agentReportMethod = 'agent.report';

/** The JSON-RPC method with which a leaving agent sends its report unasked. */
export const agentLeavingMethod = 'agent.leaving';

/** Who asks for a report; the agent tells it when it leaves. */
export const agentReportParamsSchema = z.object({
	/** The asking process's control listener, `ip:port`. */
	address: z.string().optional(),
}).default({});

/** What an agent says of itself and its upstream. */
export const agentReportSchema = z.object({
	vm: z.string(),
	incarnation: z.string(),
	/** The agent's monotonic clock when it wrote the report, in milliseconds; a late report does not overwrite a newer one. */
	clockMs: z.number().optional(),
	/** `draining` agents refuse new work. */
	state: z.enum(['ready', 'draining']),
	service: z.string(),
	configRevision: z.number().int(),
	/** Model versions that the engine itself reports as served; empty for plain services. */
	served: z.array(z.object({
		model: z.string(),
		version: z.string(),
		manifest: z.string(),
		adapters: z.array(z.string()),
	})),
	/** Calls that the upstream runs now, as last reported by it. */
	running: z.number(),
	/** Calls that wait in the upstream. */
	queued: z.number(),
	/** Calls that the upstream can run at once. */
	capacity: z.number(),
	/** Hashes of prompt prefixes that the engine probably has cached: a hint. */
	prefixes: z.array(z.string()).default([]),
});

/** What an agent says of itself and its upstream. */
export type AgentReport = z.infer<typeof agentReportSchema>;
