import {createInterface} from 'node:readline/promises';
import {Command, Option, UsageError} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import {
	createOperatorClient,
	toCallFailure,
	type OperatorClient,
} from '../operator-client.js';
import {operatorVariables, readConnection} from '../settings.js';

/** Base class of the commands that call the operator API. */
export abstract class OperatorCommand extends Command {
	readonly url = Option.String('--url', {
		description: "URL of an entry's operator API (BALSAMTRAY_OPERATOR_URL)",
	});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		try {
			const connection = readConnection(
				this.context.env,
				operatorVariables,
				this.url,
			);
			return await this.call(createOperatorClient(connection));
		} catch (error) {
			return this._reportError(error);
		}
	}

	/** Prints a result as JSON with `--json`, otherwise the given lines. */
	protected print(result: unknown, lines: readonly string[]): void {
		const text = this.isJson
			? JSON.stringify(result, null, 2)
			: lines.join('\n');
		this.context.stdout.write(`${text}\n`);
	}

	/**
	 * Asks the operator to confirm a destructive change.
	 * @throws UsageError if standard input is not a terminal.
	 */
	protected async confirm(
		question: string,
		shouldSkipPrompt: boolean,
	): Promise<boolean> {
		if (shouldSkipPrompt) {
			return true;
		}

		const {stdin, stderr} = this.context;
		if (!('isTTY' in stdin) || stdin.isTTY !== true) {
			throw new UsageError(
				`${question} Pass --yes to skip the confirmation prompt.`,
			);
		}

		const prompt = createInterface({input: stdin, output: stderr});
		const answer = await prompt.question(`${question} Type yes to continue: `);
		prompt.close();
		return answer.trim() === 'yes';
	}

	/** Calls the API, prints the result and returns the exit code. */
	protected abstract call(client: OperatorClient): Promise<number>;

	private _reportError(error: unknown): number {
		if (error instanceof UsageError) {
			this.context.stderr.write(`${error.message}\n`);
			return exitCodes.usage;
		}

		const failure = toCallFailure(error);
		this.context.stderr.write(`${failure.message}\n`);
		switch (failure.kind) {
			case 'unauthorized': {
				return exitCodes.unauthorized;
			}

			case 'unreachable': {
				return exitCodes.unreachable;
			}

			case 'failed': {
				return exitCodes.failure;
			}
		}
	}
}
