import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import type {HostCapacity} from '@balsamtray/core';

/** Descriptors of a process if the system does not tell a limit. */
const defaultDescriptors = 1024;

/** Returns what this process has: what the platform states, or what the system says. */
export function readHostCapacity(
	stated: {
		readonly memoryBytes?: number | undefined;
		readonly descriptors?: number | undefined;
	} = {},
): HostCapacity {
	return {
		memoryBytes: stated.memoryBytes ?? totalmem(),
		heapBytes: getHeapStatistics().heap_size_limit,
		descriptors: stated.descriptors ?? readDescriptorLimit(),
	};
}

function readDescriptorLimit(): number {
	try {
		const text = readFileSync('/proc/self/limits', 'utf8');
		const soft = /^Max open files\s+(?<soft>\S+)/mv.exec(text)?.groups?.soft;
		const limit =
			soft === 'unlimited' ? Number.POSITIVE_INFINITY : Number(soft);
		return Number.isNaN(limit) ? defaultDescriptors : limit;
	} catch {
		return defaultDescriptors;
	}
}
