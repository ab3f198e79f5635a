import type {ChildProcess} from 'node:child_process';
import process from 'node:process';

/** Ends the children that still run when this process exits, so that an aborted run leaves none behind. */
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

	add(child: ChildProcess): void {
		this._running.add(child);
		child.once('exit', () => {
			this._running.delete(child);
		});
	}
}
