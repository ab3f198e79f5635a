import {randomUUID} from 'node:crypto';
import {createOperatorClient, type OperatorClient} from '@balsamtray/client';
import {Child} from './child.js';
import {clientScript} from './locations.js';

/** Exit code and output of one command of the command-line client. */
export type OperatorResult = {
	readonly exitCode: number | undefined;
	readonly output: string;
};

/** ID and secret of an issued API key. */
export type IssuedKey = {readonly id: string; readonly secret: string};

/** Operates one entry, with the command-line client or with direct API calls. */
export class Operator {
	static create(url: string, key: string): Operator {
		return new Operator(url, key);
	}

	private readonly _client: OperatorClient;
	private readonly _env: Readonly<Record<string, string>>;

	private constructor(url: string, key: string) {
		this._client = createOperatorClient({url, key});
		this._env = {
			BALSAMTRAY_OPERATOR_URL: url,
			BALSAMTRAY_OPERATOR_KEY: key,
		};
	}

	/** Runs a command of the command-line client and waits until it exits. */
	async run(...args: readonly string[]): Promise<OperatorResult> {
		const child = Child.start({
			name: `balsamtray ${args.join(' ')}`,
			script: clientScript,
			args,
			env: this._env,
		});
		const {code} = await child.exited;
		return {exitCode: code, output: child.lines.join('\n')};
	}

	/** Runs a command and throws with its output if the exit code is not 0. */
	async runOrThrow(...args: readonly string[]): Promise<string> {
		const {exitCode, output} = await this.run(...args);
		if (exitCode !== 0) {
			throw new Error(
				`balsamtray ${args.join(' ')} exited with code ${exitCode}:\n${output}`,
			);
		}

		return output;
	}

	/** Applies the document in the file without asking for confirmation. */
	async applyDocument(file: string): Promise<void> {
		await this.runOrThrow('config', 'apply', file, '--yes', '--json');
	}

	/** Returns the configuration version of the entry. */
	async configVersion(): Promise<number> {
		const {version} = await this._client.status.query();
		return version;
	}

	/** Returns the digest of the entry's document. */
	async documentDigest(): Promise<string> {
		const {documentDigest} = await this._client.status.query();
		return documentDigest;
	}

	/** Brings all zones back in and undrains all servers. */
	async restoreOperatingState(): Promise<void> {
		const {zones, drainedServers} = await this._client.status.query();
		for (const {zone, isOut} of zones) {
			if (isOut) {
				// Concurrent changes would conflict.
				// eslint-disable-next-line no-await-in-loop
				await this._client.zoneIn.mutate({changeId: randomUUID(), zone});
			}
		}

		for (const server of drainedServers) {
			const changeId = randomUUID();
			// eslint-disable-next-line no-await-in-loop
			await this._client.undrainServer.mutate({changeId, server});
		}
	}

	/** Issues a key with a direct API call, without a client process. Throws if no key is issued. */
	async issueKey(customer: string): Promise<IssuedKey> {
		const issued = await this._client.issueKey.mutate({
			changeId: randomUUID(),
			customer,
		});
		if (issued.key === undefined) {
			throw new Error(
				`the entry issued no key: ${JSON.stringify(issued.result)}`,
			);
		}

		return {id: issued.keyId, secret: issued.key};
	}
}
