import type {BackendFault, BackendHealth} from '@balsamtray/core';
import type {VirtualTime} from '../rate-fleet/virtual-time.js';
import {
	adapterSlots,
	coldRunning,
	engineRestartMs,
	maxRunning,
	promptTokensPerStep,
	stepBaseMs,
	stepPerRequestMs,
} from './constants.js';
import type {WorkloadRequest} from './types.js';
import type {VirtualWeightStore} from './virtual-weight-store.js';

/** Listener for the progress of a request on an engine. */
export type EngineListener = {
	onFirstToken(): void;
	onCompleted(): void;
	onFailed(fault: BackendFault): void;
};

type RunningRequest = {
	readonly request: WorkloadRequest;
	readonly listener: EngineListener;
	/** Step counts of the engine at which the first token and the end are due. */
	readonly firstTokenAt: number;
	readonly endAt: number;
	hasStarted: boolean;
};

/** Factor by which decoding slows down while more requests run than the engine's current capacity. */
const overrunSlowdown = 4;

/** Share of the answer to a poison request after which the engine crashes. */
const poisonCrashShare = 0.3;

/** Growth of a cold engine's capacity per completed request. */
const capacityGrowth = 0.5;

/** Simulated engine with continuous batching: each step generates one token for each running request. */
export class VirtualEngine {
	static create(
		name: string,
		time: VirtualTime,
		weights: VirtualWeightStore,
	): VirtualEngine {
		return new VirtualEngine(name, time, weights);
	}

	crashes = 0;
	overruns = 0;
	/** Integral of the number of running requests over time, and time with at least one, in milliseconds. */
	runningMs = 0;
	busyMs = 0;
	private readonly _running = new Map<string, RunningRequest>();
	private readonly _loaded = new Set<string>();
	private _boots = 1;
	private _bootedAt = 0;
	private _upFrom = 0;
	private _capacity = coldRunning;
	private _steps = 0;
	private _steppedAt = 0;
	/** Number of scheduled wakes. Only the timer of the latest one takes effect. */
	private _wakeCount = 0;

	private constructor(
		private readonly _name: string,
		private readonly _time: VirtualTime,
		private readonly _weights: VirtualWeightStore,
	) {}

	get isUp(): boolean {
		return this._time.now >= this._upFrom;
	}

	get bootId(): string {
		return `${this._name}/${this._boots}`;
	}

	health(): BackendHealth {
		return {
			bootId: this.bootId,
			uptimeMs: this._time.now - this._bootedAt,
			loadedAdapters: [...this._loaded],
		};
	}

	load(servedName: string, onEnd: (isLoaded: boolean) => void): void {
		const {bootId} = this;
		if (!this.isUp) {
			onEnd(false);
			return;
		}

		this._weights.load(() => {
			const isLoaded =
				bootId === this.bootId && this.isUp && this._loaded.size < adapterSlots;
			if (isLoaded) {
				this._loaded.add(servedName);
			}

			onEnd(isLoaded);
		});
	}

	unload(servedName: string): boolean {
		this._loaded.delete(servedName);
		return this.isUp;
	}

	run(
		attemptId: string,
		servedName: string,
		request: WorkloadRequest,
		listener: EngineListener,
	): void {
		if (!this.isUp) {
			listener.onFailed('unreachable');
			return;
		}

		if (!this._loaded.has(servedName)) {
			listener.onFailed('rejected');
			return;
		}

		this._advance();
		const firstTokenAt =
			this._steps + 1 + request.promptTokens / promptTokensPerStep;
		const share = request.isPoison ? poisonCrashShare : 1;
		this._running.set(attemptId, {
			request,
			listener,
			firstTokenAt,
			endAt: firstTokenAt + request.answerTokens * share,
			hasStarted: false,
		});
		if (this._running.size > this._capacity) {
			this.overruns++;
		}

		this._wakeAtNextEnd();
	}

	cancel(attemptId: string): void {
		this._advance();
		this._running.delete(attemptId);
		this._wakeAtNextEnd();
	}

	/** Fails all running requests and restarts cold, without loaded adapters. */
	restart(downMs: number): void {
		this._advance();
		const lost = [...this._running.values()];
		this._running.clear();
		this._loaded.clear();
		this._boots++;
		this._capacity = coldRunning;
		this._upFrom = this._time.now + downMs;
		this._bootedAt = this._upFrom;
		for (const {listener} of lost) {
			listener.onFailed('connection_lost');
		}
	}

	private _stepMs(): number {
		const count = this._running.size;
		const slowdown = count > this._capacity ? overrunSlowdown : 1;
		return (stepBaseMs + stepPerRequestMs * count) * slowdown;
	}

	/** Adds the steps since the last call, during which the batch did not change. */
	private _advance(): void {
		const elapsed = this._time.now - this._steppedAt;
		this._steppedAt = this._time.now;
		const count = this._running.size;
		if (count > 0) {
			this._steps += elapsed / this._stepMs();
			this.runningMs += elapsed * count;
			this.busyMs += elapsed;
		}
	}

	private _wakeAtNextEnd(): void {
		const wake = ++this._wakeCount;
		const due = [...this._running.values()].map(({hasStarted, ...run}) =>
			hasStarted ? run.endAt : run.firstTokenAt,
		);
		if (due.length === 0) {
			return;
		}

		const steps = Math.max(0, Math.min(...due) - this._steps);
		// The margin of 1e-6 ms keeps rounding errors from waking the engine just before the step.
		const delayMs = steps * this._stepMs() + 1e-6;
		this._time.after(delayMs, () => {
			if (wake === this._wakeCount) {
				this._takeStep();
			}
		});
	}

	private _takeStep(): void {
		this._advance();
		for (const [attemptId, run] of this._running) {
			if (!run.hasStarted && run.firstTokenAt <= this._steps + 1e-6) {
				run.hasStarted = true;
				run.listener.onFirstToken();
			}

			if (!run.hasStarted || run.endAt > this._steps + 1e-6) {
				continue;
			}

			if (run.request.isPoison) {
				this.crashes++;
				this.restart(engineRestartMs);
				return;
			}

			this._running.delete(attemptId);
			this._capacity = Math.min(maxRunning, this._capacity + capacityGrowth);
			run.listener.onCompleted();
		}

		this._wakeAtNextEnd();
	}
}
