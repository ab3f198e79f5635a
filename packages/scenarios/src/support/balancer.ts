import assert from 'node:assert/strict';
import type {Fleet} from '../harness/fleet.js';

const probeIntervalMs = 200;

/** Simulates the platform's load balancer: round robin over the entries that were ready at the last probe. */
export class Balancer {
	static create(fleet: Fleet): Balancer {
		return new Balancer(fleet);
	}

	private _readyIds: readonly string[] = [];
	private _timer: NodeJS.Timeout | undefined;
	private _nextIndex = 0;

	private constructor(private readonly _fleet: Fleet) {}

	/** Probes all entries once, then every 200 ms. */
	async start(): Promise<void> {
		await this._probe();
		this._timer = setInterval(() => {
			void this._probe();
		}, probeIntervalMs);
	}

	stop(): void {
		clearInterval(this._timer);
	}

	/**
	 * Returns the ID of the next entry. Skips entries that crashed since the last probe. If no running entry is ready,
	 * returns one that isn't. Throws if none runs.
	 */
	next(): string {
		const {entries} = this._fleet;
		const running = entries.filter(({daemon}) => daemon.isRunning);
		const ready = running.filter(({daemon}) =>
			this._readyIds.includes(daemon.id),
		);
		const candidates = ready.length > 0 ? ready : running;
		const entry = candidates[this._nextIndex++ % candidates.length];
		assert.ok(entry, 'no entry is running');
		return entry.daemon.id;
	}

	private async _probe(): Promise<void> {
		const states = await Promise.all(
			this._fleet.entries.map(
				async ({daemon}) => [daemon.id, await daemon.isReady()] as const,
			),
		);
		this._readyIds = states.flatMap(([id, isReady]) => (isReady ? [id] : []));
	}
}
