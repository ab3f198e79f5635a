import assert from 'node:assert/strict';
import type {Fleet} from '../harness/fleet.js';

const probeIntervalMs = 200;

/** Picks entries in turn among those that said at the last probe that they are ready, as the platform's balancer does. */
export class Balancer {
	static create(fleet: Fleet): Balancer {
		return new Balancer(fleet);
	}

	private _ready: readonly string[] = [];
	private _timer: NodeJS.Timeout | undefined;
	private _next = 0;

	private constructor(private readonly _fleet: Fleet) {}

	/** Probes once, then at an interval. */
	async start(): Promise<void> {
		await this._probe();
		this._timer = setInterval(() => {
			void this._probe();
		}, probeIntervalMs);
	}

	stop(): void {
		clearInterval(this._timer);
	}

	/** Identifier of the next entry. One that died since the last probe is left out. */
	next(): string {
		const {entries} = this._fleet;
		const running = entries.filter(({daemon}) => daemon.isRunning);
		const ready = running.filter(({daemon}) => this._ready.includes(daemon.id));
		const candidates = ready.length > 0 ? ready : running;
		const entry = candidates[this._next++ % candidates.length];
		assert.ok(entry, 'no entry runs');
		return entry.daemon.id;
	}

	private async _probe(): Promise<void> {
		const states = await Promise.all(
			this._fleet.entries.map(
				async ({daemon}) => [daemon.id, await daemon.isReady()] as const,
			),
		);
		this._ready = states.flatMap(([id, isReady]) => (isReady ? [id] : []));
	}
}
