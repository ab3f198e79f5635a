import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import {parseLog} from '../trace/log-lines.js';
import {describeLine, traceRequest} from '../trace/request-trace.js';

/** Prints the log lines of several processes that relate to one request. */
export class TraceCommand extends Command {
	static override readonly paths = [['trace']];

	static override readonly usage = Command.Usage({
		category: 'Status',
		description: 'Print the log lines that relate to one request',
		details:
			'Shows the log line of the request and the lines that relate to it: state changes of its entry, state changes of the servers it was sent to, and orders for its adapter. Lines of other programs and truncated lines are skipped and counted.',
		examples: [
			[
				'Trace a request in the logs of two hosts',
				'$0 trace 3061e98e0dbc153a a.log b.log',
			],
		],
	});

	readonly id = Option.String({name: 'ID'});

	readonly files = Option.Rest({name: 'FILE', required: 1});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		const texts = this.files.map(file => readFileSync(file, 'utf8'));
		const {lines, skipped} = parseLog(texts);
		const related = traceRequest(this.id, lines);
		const endsAt =
			related.findLast(({event}) => event === 'request')?.time ?? 0;
		if (this.isJson) {
			this.context.stdout.write(
				`${JSON.stringify({story: related, skipped})}\n`,
			);
		} else {
			const rows = related.map(line => describeLine(line, endsAt));
			rows.push(`${related.length} lines, ${skipped} skipped`);
			this.context.stdout.write(`${rows.join('\n')}\n`);
		}

		return related.length === 0 ? exitCodes.failure : exitCodes.success;
	}
}
