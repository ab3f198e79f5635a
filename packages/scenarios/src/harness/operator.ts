import {randomUUID} from 'node:crypto';
import {createOperatorClient, type OperatorClient} from '@balsamtray/client';
import {Child} from './child.js';
import {clientScript} from './locations.js';

/** Outcome of one command of the operators' client. */
export type OperatorResult = {
	readonly exitCode: number | undefined;
	readonly output: string;
};

/** A key as the operators' client issued it. */
export type IssuedKey = {readonly id: string; readonly secret: string};

/** Runs the operators' client against one entry. */
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

	/** Runs a command to its end. */
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

	/** Runs a command and throws unless it succeeds. */
	async mustRun(...args: readonly string[]): Promise<string> {
		const {exitCode, output} = await this.run(...args);
		if (exitCode !== 0) {
			throw new Error(
				`balsamtray ${args.join(' ')} ended with ${exitCode}:\n${output}`,
			);
		}

		return output;
	}

	async applyDocument(file: string): Promise<void> {
		await this.mustRun('config', 'apply', file, '--yes', '--json');
	}

	/** Version of the configuration that the entry has. */
	async configVersion(): Promise<number> {
		const {version} = await this._client.status.query();
		return version;
	}

	/** Digest of the document that the entry has. */
	async documentDigest(): Promise<string> {
		const {documentDigest} = await this._client.status.query();
		return documentDigest;
	}

	/** Brings all zones and servers back in. */
	async restoreOperatingState(): Promise<void> {
		const {zones, drainedServers} = await this._client.status.query();
		for (const {zone, isOut} of zones) {
			if (isOut) {
				// Changes come one after the other, else they conflict.
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

	/** Issues a key without a process of the client. */
	async issueKey(customer: string): Promise<IssuedKey> {
		const issued = await this._client.issueKey.mutate({
			changeId: randomUUID(),
			customer,
		});
		if (issued.key === undefined) {
			throw new Error(`no key was issued: ${JSON.stringify(issued.result)}`);
		}

		return {id: issued.keyId, secret: issued.key};
	}
}
