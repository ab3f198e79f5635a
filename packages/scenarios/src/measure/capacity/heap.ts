import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Bytes on the heap after a full collection. */
export function heapBytes(): number {
	// The collector is only reachable from a context made after the flag was set.
	setFlagsFromString('--expose-gc');
	runInNewContext('gc(); gc()');
	return process.memoryUsage().heapUsed;
}
