import {readFileSync} from 'node:fs';
import {Command, Option} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import {readLines} from '../trace/log-lines.js';
import {describeLine, storyOf} from '../trace/request-story.js';

/** Prints what the logs of several processes say about one request. */
export class TraceCommand extends Command {
	static override readonly paths = [['trace']];

	static override readonly usage = Command.Usage({
		category: 'Status',
		description: "Print one request's story from log files",
		details:
			'Shows the line of the request with those that bear on it: what its entry believed, the servers that it was sent to, and the orders for its adapter. Lines of other programs and half lines are passed over and counted.',
		examples: [
			['From the logs of two hosts', '$0 trace 3061e98e0dbc153a a.log b.log'],
		],
	});

	readonly id = Option.String({name: 'ID'});

	readonly files = Option.Rest({name: 'FILE', required: 1});

	readonly isJson = Option.Boolean('--json', false, {
		description: 'Print JSON',
	});

	override async execute(): Promise<number> {
		const texts = this.files.map(file => readFileSync(file, 'utf8'));
		const {lines, skipped} = readLines(texts);
		const story = storyOf(this.id, lines);
		const endsAt = story.findLast(({event}) => event === 'request')?.time ?? 0;
		if (this.isJson) {
			this.context.stdout.write(`${JSON.stringify({story, skipped})}\n`);
		} else {
			const rows = story.map(line => describeLine(line, endsAt));
			rows.push(`${story.length} lines, ${skipped} passed over`);
			this.context.stdout.write(`${rows.join('\n')}\n`);
		}

		return story.length === 0 ? exitCodes.failure : exitCodes.success;
	}
}
