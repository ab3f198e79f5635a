import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Returns the used heap after a full garbage collection, in bytes. */
export function heapBytes(): number {
	// `gc` exists only in contexts created after the flag is set.
	setFlagsFromString('--expose-gc');
	runInNewContext('gc(); gc()');
	return process.memoryUsage().heapUsed;
}
