/** An agent's report of its state and load. Entries poll it, and each answer includes a copy. */
import {z} from 'zod';

/** JSON-RPC method that returns the report. */
export const agentReportMethod = 'agent.report';

/** JSON-RPC method by which an agent that shuts down pushes its report. */
export const agentLeavingMethod = 'agent.leaving';

/** The requester of a report; the agent notifies it when it shuts down. */
export const agentReportParamsSchema = z.object({
	/** Address of the requester's control listener, `ip:port`. */
	address: z.string().optional(),
}).default({});

/** The state of an agent and its upstream. */
export const agentReportSchema = z.object({
	vm: z.string(),
	incarnation: z.string(),
	/** The agent's monotonic clock when it created the report, in milliseconds, so that a delayed report does not overwrite a newer one. */
	clockMs: z.number().optional(),
	/** `draining` agents refuse new calls. */
	state: z.enum(['ready', 'draining']),
	service: z.string(),
	configRevision: z.number().int(),
	/** Model versions that the engine itself reports as served; empty for a plain service. */
	served: z.array(z.object({
		model: z.string(),
		version: z.string(),
		manifest: z.string(),
		adapters: z.array(z.string()),
	})),
	/** Number of calls that the upstream is running, as last reported by it. */
	running: z.number(),
	/** Number of calls queued at the upstream. */
	queued: z.number(),
	/** Maximum number of calls that the upstream runs concurrently. */
	capacity: z.number(),
	/** Hashes of prompt prefixes that the engine has probably cached; a hint for routing. */
	prefixes: z.array(z.string()).default([]),
});

/** The state of an agent and its upstream. */
export type AgentReport = z.infer<typeof agentReportSchema>;
