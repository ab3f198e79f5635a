import type {Flags} from '../common/flags.js';

/** Settings of an engine, from its flags. */
export type EngineSettings = {
	readonly slots: number;
	readonly weightsUrl: string | undefined;
	readonly baseModel: string;
	readonly tokenMs: number;
	readonly prefillTokensPerStep: number;
	readonly maxRunning: number;
	readonly checksFencing: boolean;
	readonly coldBears: number;
	/** Factor of the step's time while the engine is cold. */
	readonly coldSlowness: number;
	readonly restartMs: number;
	/** Time of a load where no weight store is named. */
	readonly loadMs: number;
};

/** Reads an engine's flags. */
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
		coldBears: flags.number('cold-bears', maxRunning),
		coldSlowness: flags.number('cold-slowness', 1),
		restartMs: flags.number('restart-ms', 500),
		loadMs: flags.number('load-ms', 20),
	};
}
