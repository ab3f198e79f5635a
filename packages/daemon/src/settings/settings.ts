import {type z} from 'zod';
import {
	agentDefinitions,
	commonDefinitions,
	entryDefinitions,
} from './definitions.js';
import type {
	Role,
	SettingDefinition,
	SettingFault,
	SettingsResult,
} from './types.js';

type Definitions = Readonly<Record<string, SettingDefinition>>;

type ValuesOf<T extends Definitions> = {
	readonly [K in keyof T]: z.output<T[K]['schema']>;
};

/** Checked settings of `balsamtrayd entry`. */
export type EntryProcessSettings = ValuesOf<
	typeof commonDefinitions & typeof entryDefinitions
>;

/** Checked settings of `balsamtrayd agent`. */
export type AgentProcessSettings = ValuesOf<
	typeof commonDefinitions & typeof agentDefinitions
>;

/** Texts of flags by setting name. */
export type FlagTexts = Readonly<Record<string, string | undefined>>;

/** Environment variables of the process. */
export type Environment = Readonly<Record<string, string | undefined>>;

const variablePrefix = 'BALSAMTRAY_';

/** Returns all definitions of a role, in the order in which the documentation lists them. */
export function definitionsOf(role: Role): Definitions {
	return role === 'entry'
		? {...commonDefinitions, ...entryDefinitions}
		: {...commonDefinitions, ...agentDefinitions};
}

/** Returns the name of a setting's environment variable, such as `BALSAMTRAY_HOST_ID`. */
export function variableOf(name: string): string {
	return (
		variablePrefix +
		name.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase()
	);
}

/** Returns the name of a setting's flag, such as `--host-id`. */
export function flagOf(name: string): string {
	return `--${name.replaceAll(/[A-Z]/gv, letter => `-${letter.toLowerCase()}`)}`;
}

function unknownVariables(role: Role, env: Environment): readonly string[] {
	const known = new Set(
		Object.keys(definitionsOf(role)).map(name => variableOf(name)),
	);
	return Object.keys(env)
		.filter(name => name.startsWith(variablePrefix) && !known.has(name))
		.map(name => `unknown environment variable ${name}`);
}

/** Returns the faults that depend on more than one setting. */
function findCrossSettingFaults(
	values: Readonly<Record<string, unknown>>,
): readonly SettingFault[] {
	const faults: SettingFault[] = [];
	const requireSetting = (name: string, reason: string) => {
		if (values[name] === undefined) {
			faults.push({
				setting: variableOf(name),
				message: `is required ${reason}`,
			});
		}
	};

	if (values.transport === 'tls') {
		requireSetting('tlsCertFile', 'with transport tls');
		requireSetting('tlsKeyFile', 'with transport tls');
		requireSetting('tlsCaFile', 'with transport tls');
	}

	if (values.traces === 'otlp') {
		requireSetting('otlpUrl', 'with traces otlp');
	}

	if (values.backendKind === 'engine') {
		requireSetting('baseModel', 'for an engine');
	}

	if (values.backendKind === 'service') {
		requireSetting('service', 'for a plain service');
	}

	return faults;
}

/** Reads a role's settings from flags and environment variables and checks them all. */
function readSettings(
	role: Role,
	flags: FlagTexts,
	env: Environment,
): SettingsResult<Readonly<Record<string, unknown>>> {
	const warnings = unknownVariables(role, env);
	const values: Record<string, unknown> = {};
	const faults: SettingFault[] = [];
	for (const [name, definition] of Object.entries(definitionsOf(role))) {
		const fromFlag = definition.isSecret === true ? undefined : flags[name];
		const text = fromFlag ?? env[variableOf(name)];
		const result = definition.schema.safeParse(text);
		if (result.success) {
			values[name] = result.data;
			continue;
		}

		const message =
			text === undefined
				? 'is missing'
				: (result.error.issues[0]?.message ?? 'is not valid');
		faults.push({setting: variableOf(name), message});
	}

	faults.push(...findCrossSettingFaults(values));
	return faults.length === 0
		? {kind: 'valid', settings: values, warnings}
		: {kind: 'faulty', faults, warnings};
}

/** Reads the settings of the role entry. A flag takes precedence over its variable. */
export function readEntrySettings(
	flags: FlagTexts,
	env: Environment,
): SettingsResult<EntryProcessSettings> {
	// Each value was checked against the definition that its type is derived from.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return readSettings(
		'entry',
		flags,
		env,
	) as SettingsResult<EntryProcessSettings>;
}

/** Reads the settings of the role agent. A flag takes precedence over its variable. */
export function readAgentSettings(
	flags: FlagTexts,
	env: Environment,
): SettingsResult<AgentProcessSettings> {
	// Each value was checked against the definition that its type is derived from.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return readSettings(
		'agent',
		flags,
		env,
	) as SettingsResult<AgentProcessSettings>;
}

/** Returns the settings as pairs of variable name and printable value. Secrets are masked. */
export function formatSettings(
	role: Role,
	settings: Readonly<Record<string, unknown>>,
): ReadonlyArray<readonly [string, string]> {
	return Object.entries(definitionsOf(role)).map(([name, definition]) => [
		variableOf(name),
		definition.isSecret === true
			? '(secret)'
			: (JSON.stringify(settings[name]) ?? '(none)'),
	]);
}

/** Checked settings of both roles. */
export type CommonProcessSettings = ValuesOf<typeof commonDefinitions>;
