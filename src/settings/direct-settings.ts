/** Settings of the roles `gateway` and `stager`, for deployments in which the gateways call upstreams directly instead of through agents. */
import {z} from 'zod';
import {createRegionId, type RegionId} from '../ids/region-id.ts';
import {defaultColdLimits} from '../placement/cold-quota.ts';
import {defaultInstanceBodyMb} from '../limits/bodies-in-flight.ts';
import {amount, optionalPositiveAmount, positiveAmount} from './amounts.ts';
import {machineLimits} from './machine-limits.ts';
import {
	address, idText, nameText, positiveNumber, processSection,
} from './settings-schema.ts';

/** A comma-separated list of addresses; may be empty. */
const addressList = z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''));

const peersSection = z.strictObject({
	/** Addresses of the control listeners of a few gateways, `ip:port`, through which the other gateways are discovered. */
	seeds: addressList,
}).prefault({});

const directorySection = z.strictObject({
	/** Address of the service that publishes the configuration, model versions and instances. */
	address,
});

/** The region of each zone, by the name of the zone. */
const zonesSection = z.record(idText, idText.transform((text): RegionId => createRegionId(text))).prefault({});

const versionLimits = {
	/** How long calls may still start on an older version of a model after a newer one was announced, in milliseconds. */
	version_bound_ms: positiveAmount(8000),
};

/** The largest share of calls that may be sent a second time because they are late. */
const maxHedgeRatio = 0.2;

/** Settings of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({
		callers: address,
		control: address,
		/** Address and path of the readiness check of load balancers. */
		readiness: address,
		readiness_path: z.string().startsWith('/', 'must begin with a slash').default('/readyz'),
		/** UDP address on which the gateway receives the load and the state of engines from their stagers. */
		datagrams: address,
	}),
	peers: peersSection,
	directory: directorySection,
	zones: zonesSection,
	limits: z.strictObject({
		...versionLimits,
		...machineLimits,
		/** Retries allowed per call, over all gateways. */
		retry_ratio: amount(0.1),
		/** Additional retries allowed per window, over all gateways. */
		retry_slack: amount(50),
		/** Second attempts of late calls that are allowed per call of a service, over all gateways; 0 turns them off. */
		hedge_ratio: amount(0).refine(ratio => ratio <= maxHedgeRatio, `must be at most ${maxHedgeRatio}`),
		retry_window_s: positiveAmount(10),
		/** By how much the calls that start at a cold instance within one second may exceed its published rate: rate × `cold_overage` + `cold_slack`. */
		cold_overage: amount(defaultColdLimits.overage),
		cold_slack: amount(defaultColdLimits.slack),
		/** How long new calls are still accepted after SIGTERM, so that load balancers can notice the shutdown, in milliseconds. */
		drain_notice_ms: amount(2500),
		/** Time from SIGTERM until the process is killed, in seconds. */
		grace_s: positiveAmount(8),
		/** Within what time after its publication the evacuation of a zone has to be in force, in milliseconds; none if it is absent or empty. */
		evacuate_ms: optionalPositiveAmount,
		/** Bytes of bodies that the gateway has in flight to one instance, in megabytes. */
		instance_body_mb: positiveAmount(defaultInstanceBodyMb),
	}).prefault({}),
});

/** Settings of a stager process. */
export const stagerSettingsSchema = z.strictObject({
	process: processSection,
	listen: z.strictObject({control: address}),
	peers: z.strictObject({
		seeds: addressList,
		/** UDP port on which gateways and stagers receive datagrams. */
		datagram_port: positiveNumber,
	}),
	directory: directorySection,
	engine: z.strictObject({
		/** Address of the engine on the same VM, `ip:port`. */
		address,
		service: nameText,
	}),
	transfer: z.strictObject({
		/** Bandwidth of the VM's network link, in megabits per second in each direction. */
		link_mbps: positiveAmount(100),
		/** Share of the bandwidth that transfers may use; the rest is reserved for responses to calls. */
		link_share: positiveAmount(0.9),
		/** Memory limit for model weights, in bytes. */
		memory_bytes: positiveNumber.default(64 * 1024 * 1024),
	}).prefault({}),
	limits: z.strictObject({...versionLimits, ...machineLimits}).prefault({}),
});

/** Settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Settings of a stager process. */
export type StagerSettings = z.infer<typeof stagerSettingsSchema>;
