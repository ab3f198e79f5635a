import {
	bodyShares,
	callerDescriptorShare,
	connectionBytes,
	connectionMemoryShare,
	fileDescriptors,
	heapShare,
	maxFileShare,
	memoryShare,
} from './constants.js';
import type {HostCapacity, IntakeLimits} from './types.js';

/**
 * Derives the bounds on what a process keeps for callers from what its host has.
 *
 * @param maxBodyBytes largest body of a request, which alone always fits
 */
export function deriveIntakeLimits(
	{memoryBytes, heapBytes, descriptors}: HostCapacity,
	maxBodyBytes: number,
): IntakeLimits {
	const maxBytes = Math.max(
		Math.floor(Math.min(memoryBytes * memoryShare, heapBytes * heapShare)),
		maxBodyBytes * bodyShares,
	);
	const forFiles = Math.min(fileDescriptors, descriptors * maxFileShare);
	const byDescriptors = (descriptors - forFiles) * callerDescriptorShare;
	const byMemory = (maxBytes * connectionMemoryShare) / connectionBytes;
	return {
		maxBytes,
		maxConnections: Math.max(1, Math.floor(Math.min(byDescriptors, byMemory))),
	};
}
