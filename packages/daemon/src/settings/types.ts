import type {z} from 'zod';

/** Role of the daemon. */
export type Role = 'entry' | 'agent';

/** One setting, with the schema that checks its text. */
export type SettingDefinition<T = unknown> = {
	/** Meaning of the setting, with its unit. */
	readonly description: string;
	/** Form of the value, as shown in help and documentation. */
	readonly form: string;
	readonly schema: z.ZodType<T, string | undefined>;
	/** A secret is read from the environment or a file, never from a flag, and is never printed. */
	readonly isSecret?: boolean;
};

/** A missing or invalid setting. */
export type SettingFault = {
	/** Name of the environment variable. */
	readonly setting: string;
	/** Explains what is wrong, without the setting's name. */
	readonly message: string;
};

/** Result of reading the settings: the values, or all faults. */
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
