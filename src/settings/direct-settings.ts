/** The settings of the roles for deployments where entries call upstreams themselves: gateway and stager. */
import {z} from 'zod';
import {
	address, idText, positiveNumber, processSection, wholeNumber,
} from './settings-schema.ts';

/** Addresses separated by commas; none when empty. */
const addressList = z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''));

const share = z.string().regex(/^\d+(?:\.\d+)?$/, 'must be a number').transform(Number);

const peersSection = z.strictObject({
	/** Control listeners of a few gateways, `ip:port`, through which the others are found. */
	seeds: addressList,
}).prefault({});

const directorySection = z.strictObject({
	/** The service that publishes configuration, versions and instances. */
	address,
});

const versionLimits = {
	/** How long after a newer version was named an older one may begin work, in milliseconds. */
	version_bound_ms: positiveNumber.default(8000),
};

/** Settings of a gateway. */
export const gatewaySettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({
		callers: address,
		control: address,
		/** Where a balancer asks whether the gateway takes calls, and the path that it asks for. */
		readiness: address,
		readiness_path: z.string().startsWith('/', 'must begin with a slash').default('/readyz'),
		/** Where other gateways send their load by datagram. */
		datagrams: address,
	}),
	peers: peersSection,
	directory: directorySection,
	limits: z.strictObject({
		...versionLimits,
		/** Repeats that each call allows, over all gateways. */
		retry_ratio: share.default(0.1),
		/** Repeats that are allowed besides, over all gateways, in a window. */
		retry_slack: wholeNumber.default(50),
		retry_window_s: positiveNumber.default(10),
		/** How long new calls are still taken after SIGTERM, in milliseconds. */
		drain_notice_ms: wholeNumber.default(2500),
		/** Time after SIGTERM until the process is killed, in seconds. */
		grace_s: positiveNumber.default(8),
	}).prefault({}),
});

/** Settings of a stager. */
export const stagerSettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({control: address}),
	peers: z.strictObject({
		seeds: addressList,
		/** The port on which gateways take datagrams. */
		datagram_port: positiveNumber,
	}),
	directory: directorySection,
	engine: z.strictObject({
		/** The engine on the same VM, `ip:port`. */
		address,
		service: idText,
	}),
	transfer: z.strictObject({
		/** The VM's link, in megabits per second each way. */
		link_mbps: share.default(100),
		/** Share of the link that transfers may use; the rest is for live answers. */
		link_share: share.default(0.9),
		/** Memory for weights, in bytes. */
		memory_bytes: positiveNumber.default(64 * 1024 * 1024),
	}).prefault({}),
	limits: z.strictObject(versionLimits).prefault({}),
});

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Settings of a stager. */
export type StagerSettings = z.infer<typeof stagerSettingsSchema>;
