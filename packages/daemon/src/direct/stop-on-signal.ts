import process from 'node:process';
import type {EventLog} from './event-log.js';

/** Maximum time until the last log lines are written, in milliseconds. */
const maxLogFlushMs = 50;

/**
 * Stops the runtime on SIGTERM, then writes what is left of its log and exits the process. Further signals change nothing:
 * the platform ends a process that takes too long by SIGKILL.
 */
export function stopOnSignal(
	runtime: {readonly stop: () => Promise<void>},
	log: EventLog,
): void {
	let isStopping = false;
	process.on('SIGTERM', () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		void runtime
			.stop()
			.then(async () => log.flush(maxLogFlushMs))
			.then(() => {
				process.exit(0);
			});
	});
}
