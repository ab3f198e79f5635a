import type {ChildProcess} from 'node:child_process';
import process from 'node:process';

/** Kills the child processes that are still running when this process exits, including after an aborted run. */
export class ChildReaper {
	static create(): ChildReaper {
		return new ChildReaper();
	}

	private readonly _running: Set<ChildProcess>;

	private constructor() {
		this._running = new Set();
		process.once('exit', () => {
			for (const child of this._running) {
				child.kill('SIGKILL');
			}
		});
	}

	/** Registers a child until it exits. */
	add(child: ChildProcess): void {
		this._running.add(child);
		child.once('exit', () => {
			this._running.delete(child);
		});
	}
}
