/** The room for the bodies of requests. */
import type {MemoryRoom} from './memory-budget.ts';

/** Shares of the memory limit of the process. Each body may be in memory twice while it is put together or sent. */
const shares = {large: 0.16, small: 0.04};

/** Room that a process has whatever its memory limit, in bytes: for two of the largest usual bodies, and for some small ones. */
const minRoom: MemoryRoom = {large: 8_388_608, small: 2_097_152};

const bytesPerMegabyte = 1_000_000;

/** The room of a listener that receives only messages of other processes and of operators, in bytes: two of the largest bodies, and some small ones. */
export const messageBodyRoom: MemoryRoom = {large: 8_388_608, small: 1_048_576};

/** Returns the room for a process with a memory limit in megabytes. */
export function bodyRoomFor(memoryMb: number): MemoryRoom {
	const memoryBytes = memoryMb * bytesPerMegabyte;
	return {large: Math.max(minRoom.large, memoryBytes * shares.large), small: Math.max(minRoom.small, memoryBytes * shares.small)};
}
