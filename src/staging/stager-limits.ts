/** The limits of weight transfers between stagers, for weights of a few megabytes that have to arrive within seconds. */

/** Transfer limits; times in milliseconds. */
export const transferLimits = {chunk_timeout_ms: 1500, step_in_ms: 900, upload_copies: 4};

/** The maximum backoff after failures of a source, in milliseconds. It is short because a whole rollout has only a few seconds. */
export const maxSourceBackoffMs = 200;

/** The maximum backoff after failures of the origin, in milliseconds. With several importers in each region, one of them notices the return of the origin much sooner. */
export const maxOriginBackoffMs = 1000;

/** Limits of the notices between stagers: the minimum interval between two notices about common chunks, in milliseconds, and the bandwidth budget. */
export const noticeLimits = {noticeIntervalMs: 100, noticeBytesPerSecond: 40_000};

/** The maximum burst of uploads after idle time, in milliseconds at the full rate. A longer burst would delay live responses. */
export const uploadBurstMs = 12;

/** The maximum number of concurrent downloads: `early` at importers and at stagers whose engines change to the new version in the first half, `late` at the others. */
export const downloadLimits = {early: 6, late: 2};
