/** Decides how long calls may start on a version of a model: after a newer one was announced, only for a limited time. */
import type {Directory} from '../directory/directory.ts';
import type {HeldModel} from '../directory/directory-types.ts';
import {maxPathDelayMs} from './path-delays.ts';

/** How much earlier than allowed an older version expires, in milliseconds; covers the usual network latency of a call and the error of its predicted start. */
const safetyMarginMs = 250;

/** Upper bound of what recent delays of the event loop add to the margin, in milliseconds, because callers get no service for its length. */
const maxDelayMarginMs = 1000;

/** Computes expiry times from when newer versions were announced. */
export class VersionExpiry {
	/**
	 * @param directory - provides the announced versions
	 * @param versionBoundMs - how long calls may start on an older version after a newer one was announced, in milliseconds
	 * @param eventLoopDelayMs - returns how late a timer may run now, in milliseconds; calls that have not started are aborted as late
	 */
	constructor(private readonly directory: Directory, private readonly versionBoundMs: number, private readonly eventLoopDelayMs: () => number) {}

	/**
	 * Returns whether calls may be sent to a version now.
	 *
	 * @param held - the model and version that an instance holds
	 * @param pathDelayMs - as in {@link timeLeftMs}
	 */
	mayStart(held: HeldModel, pathDelayMs = 0): boolean {
		return this.timeLeftMs(held, pathDelayMs) > 0;
	}

	/**
	 * Returns whether instances may be changing the version of a model, because its newest one was announced a short time ago.
	 *
	 * @param model - the model
	 */
	isChanging(model: string): boolean {
		const newest = this.directory.versionsOf(model).at(-1);
		return newest !== undefined && performance.now() - newest.latestMs < this.versionBoundMs;
	}

	/**
	 * Returns how long calls may still be sent to a version, in milliseconds: infinite if no newer version was announced, and minus infinity
	 * if it is unknown when, since the version may have expired.
	 *
	 * @param held - the model and version that an instance holds
	 * @param pathDelayMs - how long a call, or the reset that takes it back, may be under way to the instance, in milliseconds
	 */
	timeLeftMs(held: HeldModel, pathDelayMs = 0): number {
		const marginMs = safetyMarginMs + Math.min(maxDelayMarginMs, this.eventLoopDelayMs()) + Math.min(maxPathDelayMs, pathDelayMs);
		return this.boundLeftMs(held) - marginMs;
	}

	/**
	 * Returns the time until the bound for starts on a version, without any margin, in milliseconds; as {@link timeLeftMs}.
	 *
	 * @param held - the model and version that an instance holds
	 */
	boundLeftMs({model, version}: HeldModel): number {
		const nowMs = performance.now();
		// The earliest announced newer version counts; later ones do not extend the time.
		const newer = this.directory.versionsOf(model).filter(named => named.version > version);
		return Math.min(...newer.map(({earliestMs}) => this.versionBoundMs - (nowMs - earliestMs)));
	}
}
