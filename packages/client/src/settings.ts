import {readFileSync} from 'node:fs';
import {UsageError} from 'clipanion';

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Where the operators' API is and which key opens it. */
export type ConnectionSettings = {
	readonly url: string;
	readonly key: string;
};

/** Names of the variables of one connection. */
export type ConnectionVariables = {
	readonly url: string;
	readonly key: string;
	readonly keyFile: string;
};

/** Variables of the environment that commands change. */
export const operatorVariables: ConnectionVariables = {
	url: 'BALSAMTRAY_OPERATOR_URL',
	key: 'BALSAMTRAY_OPERATOR_KEY',
	keyFile: 'BALSAMTRAY_OPERATOR_KEY_FILE',
};

/** Variables of the environment in which a document was tried before it is promoted. */
export const trialVariables: ConnectionVariables = {
	url: 'BALSAMTRAY_TRIAL_OPERATOR_URL',
	key: 'BALSAMTRAY_TRIAL_OPERATOR_KEY',
	keyFile: 'BALSAMTRAY_TRIAL_OPERATOR_KEY_FILE',
};

/**
 * Reads the settings of a connection. A flag goes before the variable; a key stands in no flag.
 * @throws UsageError when one is missing or wrong.
 */
export function readConnection(
	env: Environment,
	variables: ConnectionVariables,
	urlFlag: string | undefined,
): ConnectionSettings {
	const url = urlFlag ?? env[variables.url];
	if (url === undefined || url === '') {
		throw new UsageError(
			`Set ${variables.url} to the URL of an entry's operators' port.`,
		);
	}

	if (!URL.canParse(url) || !/^https?:/v.test(url)) {
		throw new UsageError(`${url} is no http or https URL.`);
	}

	return {
		url: url.replace(/\/+$/v, ''),
		key: readSecret(env, variables.key, variables.keyFile),
	};
}

/**
 * Reads a secret from a variable or from the file that another variable names.
 * @throws UsageError when neither is set or the file can't be read.
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
		throw new UsageError(`The file that ${fileVariable} names can't be read.`);
	}
}
