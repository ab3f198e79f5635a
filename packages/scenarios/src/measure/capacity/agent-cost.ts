import {performance} from 'node:perf_hooks';
import {AgentCore, type AgentCommand} from '@balsamtray/core';
import {
	fixtureAdapter,
	fixtureBaseModel,
	fixtureConfig,
	fixtureDispatch,
} from './fixture.js';
import {heapBytes} from './heap.js';

/** Cost of an agent's decisions with `queued` requests in its queue. */
export type AgentCost = {
	readonly queued: number;
	/** Time of all decisions for one request, from its arrival to its end. */
	readonly microsecondsPerRequest: number;
	readonly bytesPerQueuedRequest: number;
};

const adapters = 64;
const slotCount = 64;
const window = 64;
const warmRequests = 5000;
const measuredRequests = 30_000;
const microsecondsInMs = 1000;

/** Runs an agent with a queue of constant length and completes its requests one by one. */
class AgentBenchmark {
	static create(queued: number): AgentBenchmark {
		return new AgentBenchmark(queued);
	}

	private readonly _core: AgentCore;
	private readonly _running: string[] = [];
	private _count = 0;
	private _now = 1000;

	private constructor(queued: number) {
		const config = fixtureConfig(adapters);
		this._core = AgentCore.create({
			settings: {
				server: 'server-0',
				zone: 'zone-0',
				incarnation: '1',
				backend: {kind: 'engine', baseModel: fixtureBaseModel},
				limits: {
					adapterSlots: slotCount,
					coldWindow: window,
					maxWindow: window,
					maxQueued: 10_000,
					loadTimeoutMs: 30_000,
				},
			},
			config: () => config,
		});
		this._reportHealth();
		for (let i = 0; i < window + queued; i++) {
			this.arrive();
		}
	}

	get isFull(): boolean {
		return this._running.length === window;
	}

	arrive(): void {
		const number = this._count++;
		const dispatch = fixtureDispatch(
			`a${number}`,
			fixtureAdapter(number % adapters),
		);
		this._executeAll(
			this._core.handle({type: 'dispatchArrived', dispatch}, this._now),
		);
	}

	/** Completes the oldest running request and adds a new one. */
	step(): void {
		this._now++;
		const attemptId = this._running.shift();
		if (attemptId !== undefined) {
			this._executeAll(
				this._core.handle(
					{
						type: 'answerCompleted',
						attemptId,
						usage: {promptTokens: 200, completionTokens: 100},
					},
					this._now,
				),
			);
		}

		this.arrive();
	}

	/** Advances time until the agent runs as many requests as its window allows. */
	settle(): void {
		for (let i = 0; i < adapters * 100 && !this.isFull; i++) {
			this._now += 100;
			this._reportHealth();
			this._executeAll(this._core.handle({type: 'tick'}, this._now));
		}
	}

	private _reportHealth(): void {
		this._executeAll(
			this._core.handle(
				{
					type: 'backendHealthy',
					health: {
						bootId: 'boot',
						uptimeMs: this._now,
						loadedAdapters: Array.from(
							{length: adapters},
							(_, i) => `${fixtureAdapter(i)}@v1`,
						),
					},
					askedAt: this._now,
				},
				this._now,
			),
		);
	}

	private _executeAll(commands: readonly AgentCommand[]): void {
		for (const command of commands) {
			this._execute(command);
		}
	}

	/** Executes a command. The simulated engine starts requests and loads adapters immediately. */
	private _execute(command: AgentCommand): void {
		switch (command.type) {
			case 'runOnBackend': {
				this._running.push(command.attemptId);
				break;
			}

			case 'loadAdapter': {
				const {loadId} = command;
				this._executeAll(
					this._core.handle(
						{type: 'loadCompleted', loadId, bootId: 'boot'},
						this._now,
					),
				);
				break;
			}

			case 'refuse': {
				throw new Error(`the agent refused a request: ${command.refusal.code}`);
			}

			case 'unloadAdapter':
			case 'cancelOnBackend':
			case 'checkHealth':
			case 'reportSuspects':
			case 'drained': {
				break;
			}
		}
	}
}

function measureWith(queued: number): AgentCost {
	const before = heapBytes();
	const bench = AgentBenchmark.create(queued);
	bench.settle();
	const stateBytes = heapBytes() - before;
	for (let i = 0; i < warmRequests; i++) {
		bench.step();
	}

	const startedAt = performance.now();
	for (let i = 0; i < measuredRequests; i++) {
		bench.step();
	}

	const elapsedMs = performance.now() - startedAt;
	return {
		queued,
		microsecondsPerRequest: (elapsedMs / measuredRequests) * microsecondsInMs,
		bytesPerQueuedRequest: stateBytes / (queued + window),
	};
}

/** Measures the agent's decisions with queues of 0, 100 and 1000 requests. */
export function measureAgentCost(): readonly AgentCost[] {
	return [0, 100, 1000].map(queued => measureWith(queued));
}
