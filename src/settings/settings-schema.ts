/** Settings schemas of the roles `entry` and `agent`, and the sections that all roles share. Key names end with their unit. */
import {isIPv4} from 'node:net';
import {z} from 'zod';
import {parseAddress, type ListenAddress} from '../links/http-listener.ts';
import {isNameText} from '../ids/id-text.ts';
import {createRegionId, type RegionId} from '../ids/region-id.ts';
import {createServiceId, type ServiceId} from '../ids/service-id.ts';
import {createVmId, type VmId} from '../ids/vm-id.ts';
import {createZoneId, type ZoneId} from '../ids/zone-id.ts';
import {logLevels} from '../runtime/logger.ts';
import {machineLimits} from './machine-limits.ts';

const urlPrefix = 'http://';

/** A name that operators chose. */
export const nameText = z.string().refine(text => isNameText(text), 'must be 1 to 256 characters without control characters');

/** An ID of a VM, zone, region or service. */
export const idText = z.string().regex(/^[\w.:-]{1,128}$/, 'must be 1 to 128 letters, digits, dots, dashes, underscores or colons');

/** An `ip:port` address, parsed. */
export const address = z.string().refine(isAddress, 'must be an IPv4 address and a port, such as 127.0.0.1:8080')
	.transform((text): ListenAddress => parseAddress(text));

/** An `http://ip:port` URL without a path. */
const baseUrl = z.string().refine(
	text => text.startsWith(urlPrefix) && isAddress(text.slice(urlPrefix.length)),
	'must be a URL of an IPv4 address and a port, such as http://127.0.0.1:7000',
);

export const wholeNumber = z.string().regex(/^\d{1,15}$/, 'must be a whole number of at most 15 digits').transform(Number);
export const positiveNumber = wholeNumber.refine(number => number > 0, 'must be more than 0');

/** The section `process`, which all roles share. */
export const processSection = z.strictObject({
	vm: idText.transform((text): VmId => createVmId(text)),
	zone: idText.transform((text): ZoneId => createZoneId(text)),
	region: idText.transform((text): RegionId => createRegionId(text)),
	log_level: z.enum(logLevels).default('info'),
	/** Seed of the random choices of placement and of jitter, for reproducible runs; random if absent. */
	random_seed: wholeNumber.optional(),
});

/** URLs of the platform's services. */
const platformSection = z.strictObject({
	configuration: baseUrl,
	vms: baseUrl,
	origin: baseUrl,
});

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({callers: address, control: address}),
	platform: platformSection,
	limits: z.strictObject({
		...machineLimits,
		/** How long a new call may wait for admission, and for an upstream if none is available, in milliseconds. */
		queue_wait_ms: wholeNumber.default(1000),
		/** Deadline of calls that do not specify one, in milliseconds. */
		default_deadline_ms: positiveNumber.default(30_000),
		/** How long new calls are still accepted after SIGTERM, so that load balancers can notice the shutdown, in milliseconds. */
		drain_notice_ms: wholeNumber.default(2000),
	}).prefault({}),
});

/** Settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({control: address}),
	platform: platformSection,
	upstream: z.strictObject({
		kind: z.enum(['engine', 'plain']),
		service: idText.transform((text): ServiceId => createServiceId(text)),
		address: baseUrl,
		/** Maximum number of concurrent calls, for upstreams that do not report their capacity. */
		capacity: positiveNumber.default(16),
	}),
	transfer: z.strictObject({
		/** Memory limit for model weights, in bytes. */
		memory_bytes: positiveNumber.default(512 * 1024 * 1024),
		/** Bandwidth of the VM's network link, in bytes per second in each direction. */
		link_bytes_per_second: positiveNumber.default(125_000_000),
	}).prefault({}),
	limits: z.strictObject({
		...machineLimits,
		/** Maximum number of call records of the agent. When the table is full, new calls are refused. */
		call_records: positiveNumber.default(100_000),
	}).prefault({}),
});

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of an agent process. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

/** The sections that entries and agents share. */
export type ProcessSettings = Pick<EntrySettings, 'process' | 'platform'>;

function isAddress(text: string): boolean {
	const {host, port} = parseAddress(text);
	return isIPv4(host) && /:\d{1,5}$/.test(text) && port <= 65_535;
}
