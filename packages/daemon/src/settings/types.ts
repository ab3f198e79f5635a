import type {z} from 'zod';

/** Role of the daemon that a setting belongs to. */
export type Role = 'entry' | 'agent';

/** One setting: a flag, an environment variable and the check on its text. */
export type SettingDefinition<T = unknown> = {
	/** What it does, with its unit. */
	readonly description: string;
	/** Form of the value, as documentation shows it. */
	readonly form: string;
	readonly schema: z.ZodType<T, string | undefined>;
	/** A secret is taken from the environment or a file, never from a flag, and is never shown. */
	readonly isSecret?: boolean;
};

/** A fault in the settings, with all that its reader needs to mend it. */
export type SettingFault = {
	readonly setting: string;
	readonly message: string;
};

/** Result of reading the settings: all faults at once, or the values. */
export type SettingsResult<T> =
	| {
			readonly kind: 'valid';
			readonly settings: T;
			readonly warnings: readonly string[];
	  }
	| {
			readonly kind: 'faulty';
			readonly faults: readonly SettingFault[];
			readonly warnings: readonly string[];
	  };
