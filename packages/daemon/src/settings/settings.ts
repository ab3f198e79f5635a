/** Reads the daemon's settings from flags and environment variables and checks them all at once. */
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

/** Texts of flags by the name of the setting. */
export type FlagTexts = Readonly<Record<string, string | undefined>>;

/** Environment variables of the process. */
export type Environment = Readonly<Record<string, string | undefined>>;

const variablePrefix = 'BALSAMTRAY_';

/** All definitions of a role, in the order of the documentation. */
export function definitionsOf(role: Role): Definitions {
	return role === 'entry'
		? {...commonDefinitions, ...entryDefinitions}
		: {...commonDefinitions, ...agentDefinitions};
}

/** Name of a setting's environment variable, such as `BALSAMTRAY_HOST_ID`. */
export function variableOf(name: string): string {
	return (
		variablePrefix +
		name.replaceAll(/[A-Z]/gv, letter => `_${letter}`).toUpperCase()
	);
}

/** Name of a setting's flag, such as `--host-id`. */
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

/** Faults that concern more than one setting. */
function crossFaults(
	values: Readonly<Record<string, unknown>>,
): readonly SettingFault[] {
	const faults: SettingFault[] = [];
	const require = (name: string, reason: string) => {
		if (values[name] === undefined) {
			faults.push({setting: variableOf(name), message: `is needed ${reason}`});
		}
	};

	if (values.transport === 'tls') {
		require('tlsCertFile', 'with transport tls');
		require('tlsKeyFile', 'with transport tls');
		require('tlsCaFile', 'with transport tls');
	}

	if (values.traces === 'otlp') {
		require('otlpUrl', 'with traces otlp');
	}

	if (values.backendKind === 'engine') {
		require('baseModel', 'for an engine');
	}

	if (values.backendKind === 'service') {
		require('service', 'for a plain service');
	}

	return faults;
}

function read(
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

	faults.push(...crossFaults(values));
	return faults.length === 0
		? {kind: 'valid', settings: values, warnings}
		: {kind: 'faulty', faults, warnings};
}

/** Reads the settings of the role entry. A flag goes before its variable. */
export function readEntrySettings(
	flags: FlagTexts,
	env: Environment,
): SettingsResult<EntryProcessSettings> {
	// The definitions of the role give each value its type.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return read('entry', flags, env) as SettingsResult<EntryProcessSettings>;
}

/** Reads the settings of the role agent. A flag goes before its variable. */
export function readAgentSettings(
	flags: FlagTexts,
	env: Environment,
): SettingsResult<AgentProcessSettings> {
	// The definitions of the role give each value its type.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return read('agent', flags, env) as SettingsResult<AgentProcessSettings>;
}

/** Settings as pairs of variable and shown value. Secrets are left out. */
export function shownSettings(
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

/** Checked settings that both roles have. */
export type CommonProcessSettings = ValuesOf<typeof commonDefinitions>;
