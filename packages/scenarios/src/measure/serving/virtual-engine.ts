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

/** What an engine tells of a request that it runs. */
export type EngineListener = {
	onFirstToken(): void;
	onCompleted(): void;
	onFailed(fault: BackendFault): void;
};

type RunningRequest = {
	readonly request: WorkloadRequest;
	readonly listener: EngineListener;
	/** Steps of the engine at which the first token and the end are due. */
	readonly firstTokenAt: number;
	readonly endAt: number;
	hasStarted: boolean;
};

/** How much slower a cold engine decodes when it gets more than it bears. */
const overrunSlowness = 4;

/** Part of a crashing request's work after which the engine dies. */
const poisonShare = 0.3;

const bearingGrowth = 0.5;

/** Engine with continuous batching: each step gives each running request one token. */
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
	/** Integral of the running requests over time, and time with any, in milliseconds. */
	runningMs = 0;
	busyMs = 0;
	private readonly _running = new Map<string, RunningRequest>();
	private readonly _loaded = new Set<string>();
	private _boots = 1;
	private _bootedAt = 0;
	private _upFrom = 0;
	private _bears = coldRunning;
	private _steps = 0;
	private _steppedAt = 0;
	private _wakes = 0;

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
		const share = request.isPoison ? poisonShare : 1;
		this._running.set(attemptId, {
			request,
			listener,
			firstTokenAt,
			endAt: firstTokenAt + request.answerTokens * share,
			hasStarted: false,
		});
		if (this._running.size > this._bears) {
			this.overruns++;
		}

		this._wakeAtNextEnd();
	}

	cancel(attemptId: string): void {
		this._advance();
		this._running.delete(attemptId);
		this._wakeAtNextEnd();
	}

	/** Dies with all that runs and comes back empty and cold. */
	restart(downMs: number): void {
		this._advance();
		const lost = [...this._running.values()];
		this._running.clear();
		this._loaded.clear();
		this._boots++;
		this._bears = coldRunning;
		this._upFrom = this._time.now + downMs;
		this._bootedAt = this._upFrom;
		for (const {listener} of lost) {
			listener.onFailed('connection_lost');
		}
	}

	private _stepMs(): number {
		const count = this._running.size;
		const slowness = count > this._bears ? overrunSlowness : 1;
		return (stepBaseMs + stepPerRequestMs * count) * slowness;
	}

	/** Counts the steps since the last change of the batch. */
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
		const wake = ++this._wakes;
		const due = [...this._running.values()].map(({hasStarted, ...run}) =>
			hasStarted ? run.endAt : run.firstTokenAt,
		);
		if (due.length === 0) {
			return;
		}

		const steps = Math.max(0, Math.min(...due) - this._steps);
		// A hair more, so that rounding never leaves a wake just short of its step.
		const delayMs = steps * this._stepMs() + 1e-6;
		this._time.after(delayMs, () => {
			if (wake === this._wakes) {
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
			this._bears = Math.min(maxRunning, this._bears + bearingGrowth);
			run.listener.onCompleted();
		}

		this._wakeAtNextEnd();
	}
}
