import type {Flags} from '../common/flags.js';

/** Settings of an engine, read from its flags. */
export type EngineSettings = {
	/** Number of adapter slots. */
	readonly slots: number;
	readonly weightsUrl: string | undefined;
	readonly baseModel: string;
	/** Time of a batch step with one running request, in milliseconds. */
	readonly tokenMs: number;
	readonly prefillTokensPerStep: number;
	readonly maxRunning: number;
	/** Whether loads and unloads with a stale fencing token are refused. */
	readonly checksFencing: boolean;
	/** Concurrent requests that the engine can handle right after a start. */
	readonly coldMaxRunning: number;
	/** Multiplier of the step time while the engine is cold. */
	readonly coldSlowdownFactor: number;
	/** Time for which connections are refused after a crash, in milliseconds. */
	readonly restartMs: number;
	/** Duration of a load, in milliseconds, if no weight store URL is set. */
	readonly loadMs: number;
};

/** Reads an engine's flags. Throws a TypeError if a numeric flag is invalid. */
export function readEngineSettings(flags: Flags): EngineSettings {
	const maxRunning = flags.number('max-running', 32);
	return {
		slots: flags.number('slots', 8),
		weightsUrl: flags.text('weights-url'),
		baseModel: flags.text('base-model') ?? 'base',
		tokenMs: flags.number('token-ms', 5),
		prefillTokensPerStep: flags.number('prefill-tokens-per-step', 512),
		maxRunning,
		checksFencing: flags.isSet('checks-fencing'),
		coldMaxRunning: flags.number('cold-bears', maxRunning),
		coldSlowdownFactor: flags.number('cold-slowness', 1),
		restartMs: flags.number('restart-ms', 500),
		loadMs: flags.number('load-ms', 20),
	};
}
