import {readFileSync, writeFileSync} from 'node:fs';
import {Command, Option, UsageError} from 'clipanion';
import * as t from 'typanion';
import {exitCodes} from '../exit-codes.js';
import {renderLoadChart} from '../load/load-chart.js';
import {describeLoad} from '../load/load-report.js';
import {runLoad} from '../load/load-runner.js';
import type {LoadPlan, Workload} from '../load/types.js';
import {readSecret} from '../settings.js';

const millisecondsPerSecond = 1000;
const maxRatePerSecond = 100_000;
const maxDurationSeconds = 24 * 60 * 60;
const defaults = {
	rate: 10,
	seconds: 10,
	maxTokens: 64,
	timeoutSeconds: 60,
	connections: 1000,
	seed: 1,
};

const positiveNumber = t.cascade(t.isNumber(), [t.isPositive()]);
const positiveInteger = t.cascade(t.isNumber(), [
	t.isInteger(),
	t.isPositive(),
]);

/** Load generator: sends requests at a fixed rate and reports their outcomes and latencies. */
export class LoadCommand extends Command {
	static override readonly paths = [['load']];

	static override readonly usage = Command.Usage({
		category: 'Load',
		description: 'Send requests at a fixed rate and report their outcomes',
		details:
			"Requests are sent when they are due, even if earlier responses are slow; latency is measured from the due time. The caller's key is read from BALSAMTRAY_KEY or BALSAMTRAY_KEY_FILE.",
		examples: [
			[
				'Send 50 chat completions per second for a minute and draw a chart',
				'$0 load --target http://192.0.2.7:8080 --rate 50 --seconds 60 --model salt-orders --svg load.svg',
			],
			[
				'Call a plain service and print the report as JSON',
				'$0 load --target http://192.0.2.7:8080 --service salt-orders/order --rate 5 --json',
			],
		],
	});

	readonly targets = Option.Array('--target', [], {
		description: "URL of an entry's caller API; may be repeated",
	});

	readonly models = Option.Array('--model', [], {
		description: 'Adapter or model route; may be repeated',
	});

	readonly service = Option.String('--service', {
		description: 'Route of a plain service and its path, instead of a model',
	});

	readonly rate = Option.String('--rate', {
		description: `Requests per second (default ${defaults.rate})`,
		validator: t.cascade(positiveNumber, [t.isAtMost(maxRatePerSecond)]),
	});

	readonly seconds = Option.String('--seconds', {
		description: `Duration of the run in seconds (default ${defaults.seconds})`,
		validator: t.cascade(positiveNumber, [t.isAtMost(maxDurationSeconds)]),
	});

	readonly prompt = Option.String('--prompt', 'Which roads come first?', {
		description: 'Prompt of each chat completion, or body of each service call',
	});

	readonly maxTokens = Option.String('--max-tokens', {
		description: `Maximum tokens per completion (default ${defaults.maxTokens})`,
		validator: positiveInteger,
	});

	readonly timeout = Option.String('--timeout', {
		description: `Request timeout in seconds (default ${defaults.timeoutSeconds})`,
		validator: positiveNumber,
	});

	readonly connections = Option.String('--connections', {
		description: `Maximum number of connections (default ${defaults.connections})`,
		validator: positiveInteger,
	});

	readonly seed = Option.String('--seed', {
		description: `Random seed for arrival times and model choice (default ${defaults.seed})`,
		validator: t.cascade(t.isNumber(), [t.isInteger()]),
	});

	readonly svg = Option.String('--svg', {
		description:
			'Write an SVG chart of latency and outcomes over time to this file',
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
				writeFileSync(this.svg, renderLoadChart(report));
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
			throw new UsageError('At least one --target is required.');
		}

		for (const target of this.targets) {
			if (!URL.canParse(target) || !/^https?:/v.test(target)) {
				throw new UsageError(`${target} is not an http or https URL.`);
			}
		}

		const seconds = this.seconds ?? defaults.seconds;
		const timeoutSeconds = this.timeout ?? defaults.timeoutSeconds;
		return {
			targets: this.targets,
			key: readSecret(
				this.context.env,
				'BALSAMTRAY_KEY',
				'BALSAMTRAY_KEY_FILE',
			),
			ratePerSecond: this.rate ?? defaults.rate,
			durationMs: seconds * millisecondsPerSecond,
			workload: this._workload(),
			timeoutMs: timeoutSeconds * millisecondsPerSecond,
			connections: this.connections ?? defaults.connections,
			seed: this.seed ?? defaults.seed,
		};
	}

	private _workload(): Workload {
		if ((this.service === undefined) === (this.models.length === 0)) {
			throw new UsageError('Specify either --model or --service.');
		}

		return this.service === undefined
			? {
					kind: 'chat',
					models: this.models,
					prompt: this.prompt,
					maxTokens: this.maxTokens ?? defaults.maxTokens,
				}
			: {kind: 'service', route: this.service, body: this.prompt};
	}
}
