import {readFileSync} from 'node:fs';
import {UsageError} from 'clipanion';

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** URL and key of an operator API. */
export type ConnectionSettings = {
	readonly url: string;
	readonly key: string;
};

/** Names of the environment variables that configure one connection. */
export type ConnectionVariables = {
	readonly url: string;
	readonly key: string;
	/** Variable that holds the path of a file with the key. */
	readonly keyFile: string;
};

/** Variables for the environment that the commands act on. */
export const operatorVariables: ConnectionVariables = {
	url: 'BALSAMTRAY_OPERATOR_URL',
	key: 'BALSAMTRAY_OPERATOR_KEY',
	keyFile: 'BALSAMTRAY_OPERATOR_KEY_FILE',
};

/** Variables for the trial environment, from which documents are promoted. */
export const trialVariables: ConnectionVariables = {
	url: 'BALSAMTRAY_TRIAL_OPERATOR_URL',
	key: 'BALSAMTRAY_TRIAL_OPERATOR_KEY',
	keyFile: 'BALSAMTRAY_TRIAL_OPERATOR_KEY_FILE',
};

/**
 * Reads the settings of a connection. The URL flag takes precedence over its variable. Keys have no flag.
 * @throws UsageError if a setting is missing or invalid.
 */
export function readConnection(
	env: Environment,
	variables: ConnectionVariables,
	urlFlag: string | undefined,
): ConnectionSettings {
	const url = urlFlag ?? env[variables.url];
	if (url === undefined || url === '') {
		throw new UsageError(
			`Set ${variables.url} to the URL of an entry's operator API.`,
		);
	}

	if (!URL.canParse(url) || !/^https?:/v.test(url)) {
		throw new UsageError(`${url} is not an http or https URL.`);
	}

	return {
		url: url.replace(/\/+$/v, ''),
		key: readSecret(env, variables.key, variables.keyFile),
	};
}

/**
 * Reads a secret from a variable, else from the file whose path is in another variable.
 * @throws UsageError if neither is set or the file can't be read.
 */
export function readSecret(
	env: Environment,
	variable: string,
	fileVariable: string,
): string {
	const secret = env[variable];
	if (secret !== undefined && secret !== '') {
		return secret;
	}

	const file = env[fileVariable];
	if (file === undefined || file === '') {
		throw new UsageError(`Set ${variable} or ${fileVariable}.`);
	}

	try {
		return readFileSync(file, 'utf8').trim();
	} catch {
		throw new UsageError(`The file in ${fileVariable} can't be read.`);
	}
}
