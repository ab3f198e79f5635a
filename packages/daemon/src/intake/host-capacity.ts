import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import type {HostCapacity} from '@balsamtray/core';

/** Descriptors of a process if the system does not tell a limit. */
const defaultDescriptors = 1024;

/** Reads what this process has. What the platform states is used as far as the system does not grant less. */
export function readHostCapacity(
	stated: {
		readonly memoryBytes?: number | undefined;
		readonly descriptors?: number | undefined;
	} = {},
): HostCapacity {
	return {
		memoryBytes: Math.min(stated.memoryBytes ?? totalmem(), totalmem()),
		heapBytes: getHeapStatistics().heap_size_limit,
		descriptors: Math.min(
			stated.descriptors ?? Number.POSITIVE_INFINITY,
			readDescriptorLimit(),
		),
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
