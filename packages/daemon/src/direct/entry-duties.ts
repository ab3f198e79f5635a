import {randomUUID} from 'node:crypto';
import type {DutyName} from '@balsamtray/core';
import {dutyCallShare} from './constants.js';
import {DutyTask, type DutyTaskOptions} from './duty-task.js';
import type {DutyEndpoint, DutySettings} from './types.js';

export type EntryDutiesOptions = Omit<
	DutyTaskOptions,
	| 'duty'
	| 'leaseMs'
	| 'callIntervalMs'
	| 'createClaim'
	| 'endpoint'
	| 'onHeldChanged'
> & {
	/** Undefined in a deployment without duties. */
	readonly settings: DutySettings | undefined;
	readonly endpoint: DutyEndpoint | undefined;
};

/** The singleton duties of a deployment, and this entry's part in each. Does nothing in a deployment without duties. */
export class EntryDuties {
	static create(options: EntryDutiesOptions): EntryDuties {
		return new EntryDuties(options);
	}

	private readonly _tasks = new Map<DutyName, DutyTask>();

	private constructor(options: EntryDutiesOptions) {
		const {settings, endpoint} = options;
		if (settings === undefined || endpoint === undefined) {
			return;
		}

		const {duties, leaseMs, callsPerSecond} = settings;
		const callIntervalMs =
			(1000 * duties.length) / (callsPerSecond * dutyCallShare);
		for (const duty of duties) {
			this._tasks.set(
				duty,
				DutyTask.create({
					...options,
					duty,
					leaseMs,
					callIntervalMs,
					endpoint,
					createClaim: randomUUID,
					onHeldChanged: () => undefined,
				}),
			);
		}
	}

	/** Number of duties whose lease this entry holds. */
	get heldCount(): number {
		return [...this._tasks.values()].filter(task => task.isHeld()).length;
	}

	/** Returns the task of a duty; undefined in a deployment without it. */
	task(duty: DutyName): DutyTask | undefined {
		return this._tasks.get(duty);
	}

	start(): void {
		for (const task of this._tasks.values()) {
			task.start();
		}
	}

	/** Releases the leases. Resolves when that is done, or after some time. */
	async stop(): Promise<void> {
		await Promise.all([...this._tasks.values()].map(async task => task.stop()));
	}
}
