import {readFileSync, writeFileSync} from 'node:fs';
import {Command, Option, UsageError} from 'clipanion';
import * as t from 'typanion';
import {exitCodes} from '../exit-codes.js';
import {drawLoad} from '../load/load-chart.js';
import {describeLoad} from '../load/load-lines.js';
import {runLoad} from '../load/load-runner.js';
import type {LoadPlan, LoadWork} from '../load/types.js';
import {readSecret} from '../settings.js';

const millisecondsPerSecond = 1000;
const mostRate = 100_000;
const mostSeconds = 24 * 60 * 60;
const usual = {
	rate: 10,
	seconds: 10,
	maxTokens: 64,
	timeoutSeconds: 60,
	connections: 1000,
	seed: 1,
};

const positive = t.cascade(t.isNumber(), [t.isPositive()]);
const whole = t.cascade(t.isNumber(), [t.isInteger(), t.isPositive()]);

/** Sends requests at a set rate, as callers do, and tells what became of them. */
export class LoadCommand extends Command {
	static override readonly paths = [['load']];

	static override readonly usage = Command.Usage({
		category: 'Load',
		description: 'Send requests at a set rate and count what became of them',
		details:
			"The requests go out when they are due, however slow the answers are, and latency counts from then. The caller's key comes from BALSAMTRAY_KEY or BALSAMTRAY_KEY_FILE.",
		examples: [
			[
				'50 chat completions a second for a minute, with a picture',
				'$0 load --target http://192.0.2.7:8080 --rate 50 --seconds 60 --model salt-orders --svg load.svg',
			],
			[
				'Calls of a plain service, as JSON',
				'$0 load --target http://192.0.2.7:8080 --service salt-orders/order --rate 5 --json',
			],
		],
	});

	readonly targets = Option.Array('--target', [], {
		description: "URL of an entry's callers' port; may be given several times",
	});

	readonly models = Option.Array('--model', [], {
		description: 'Adapter or model route; may be given several times',
	});

	readonly service = Option.String('--service', {
		description: 'Route of a plain service, with its path, in place of a model',
	});

	readonly rate = Option.String('--rate', {
		description: `Requests a second (${usual.rate})`,
		validator: t.cascade(positive, [t.isAtMost(mostRate)]),
	});

	readonly seconds = Option.String('--seconds', {
		description: `Length of the run (${usual.seconds})`,
		validator: t.cascade(positive, [t.isAtMost(mostSeconds)]),
	});

	readonly prompt = Option.String('--prompt', 'Which roads come first?', {
		description: 'Prompt of each chat completion, or body of each call',
	});

	readonly maxTokens = Option.String('--max-tokens', {
		description: `Most tokens of each answer (${usual.maxTokens})`,
		validator: whole,
	});

	readonly timeout = Option.String('--timeout', {
		description: `Seconds until a request is given up (${usual.timeoutSeconds})`,
		validator: positive,
	});

	readonly connections = Option.String('--connections', {
		description: `Most connections (${usual.connections})`,
		validator: whole,
	});

	readonly seed = Option.String('--seed', {
		description: `Seed of the times and models (${usual.seed})`,
		validator: t.cascade(t.isNumber(), [t.isInteger()]),
	});

	readonly svg = Option.String('--svg', {
		description: 'File for a picture of latency and outcomes over time',
	});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		try {
			const plan = this._plan();
			const {stderr, stdout} = this.context;
			const report = await runLoad(plan, line => {
				stderr.write(`${line}\n`);
			});
			const text = this.isJson
				? JSON.stringify(report, null, 2)
				: describeLoad(report).join('\n');
			stdout.write(`${text}\n`);
			if (this.svg !== undefined) {
				writeFileSync(this.svg, drawLoad(report));
			}

			return report.reasons.ok === report.sent
				? exitCodes.success
				: exitCodes.failure;
		} catch (error) {
			if (error instanceof UsageError) {
				this.context.stderr.write(`${error.message}\n`);
				return exitCodes.usage;
			}

			throw error;
		}
	}

	private _plan(): LoadPlan {
		if (this.targets.length === 0) {
			throw new UsageError('Give at least one --target.');
		}

		for (const target of this.targets) {
			if (!URL.canParse(target) || !/^https?:/v.test(target)) {
				throw new UsageError(`${target} is no http or https URL.`);
			}
		}

		const seconds = this.seconds ?? usual.seconds;
		const timeoutSeconds = this.timeout ?? usual.timeoutSeconds;
		return {
			targets: this.targets,
			key: readSecret(
				this.context.env,
				'BALSAMTRAY_KEY',
				'BALSAMTRAY_KEY_FILE',
			),
			ratePerSecond: this.rate ?? usual.rate,
			durationMs: seconds * millisecondsPerSecond,
			work: this._work(),
			timeoutMs: timeoutSeconds * millisecondsPerSecond,
			connections: this.connections ?? usual.connections,
			seed: this.seed ?? usual.seed,
		};
	}

	private _work(): LoadWork {
		if ((this.service === undefined) === (this.models.length === 0)) {
			throw new UsageError('Give either --model or --service.');
		}

		return this.service === undefined
			? {
					kind: 'chat',
					models: this.models,
					prompt: this.prompt,
					maxTokens: this.maxTokens ?? usual.maxTokens,
				}
			: {kind: 'service', route: this.service, body: this.prompt};
	}
}
