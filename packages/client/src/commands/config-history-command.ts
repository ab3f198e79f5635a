import {Command, Option} from 'clipanion';
import * as t from 'typanion';
import {exitCodes} from '../exit-codes.js';
import type {OperatorClient} from '../operator-client.js';
import {OperatorCommand} from './operator-command.js';

const defaultLimit = 20;
const maxLimit = 1000;

/** Lists the latest configuration changes. */
export class ConfigHistoryCommand extends OperatorCommand {
	static override readonly paths = [['config', 'history']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description: 'List the latest changes, newest first',
		examples: [['List the last five changes', '$0 config history --limit 5']],
	});

	readonly limit = Option.String('--limit', {
		description: `Maximum number of changes to list (default ${defaultLimit})`,
		validator: t.cascade(t.isNumber(), [
			t.isInteger(),
			t.isInInclusiveRange(1, maxLimit),
		]),
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const changes = await client.history.query({
			limit: this.limit ?? defaultLimit,
		});
		const lines = changes.map(change =>
			[
				change.version,
				new Date(change.writtenAt).toISOString(),
				change.author,
				change.summary,
				change.changeId,
			].join('  '),
		);
		this.print(changes, lines);
		return exitCodes.success;
	}
}
