import type {OutputProgress} from './output-progress.js';

/** This entry's requests at one engine, by what is expected of their outputs. */
export class RunningOutputs {
	static create(): RunningOutputs {
		return new RunningOutputs();
	}

	private readonly _outputs = new Set<OutputProgress>();

	private constructor() {}

	get size(): number {
		return this._outputs.size;
	}

	add(output: OutputProgress): void {
		this._outputs.add(output);
	}

	delete(output: OutputProgress): void {
		this._outputs.delete(output);
	}

	/** Expected number of events that these requests still generate. */
	remaining(now: number): number {
		let sum = 0;
		for (const output of this._outputs) {
			sum += output.remaining(now);
		}

		return sum;
	}

	/** Number of these requests that run beside one of the given length, on average over its time. */
	overlap(events: number, now: number): number {
		let sum = 0;
		for (const output of this._outputs) {
			sum += Math.min(1, output.remaining(now) / events);
		}

		return sum;
	}
}
