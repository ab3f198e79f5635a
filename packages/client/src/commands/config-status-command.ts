import {Command} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import type {OperatorClient} from '../operator-client.js';
import {describeConfig} from '../status-report.js';
import {OperatorCommand} from './operator-command.js';

/** Shows the configuration in force at an entry. */
export class ConfigStatusCommand extends OperatorCommand {
	static override readonly paths = [['config', 'status']];

	static override readonly usage = Command.Usage({
		category: 'Configuration',
		description:
			'Show the version, digest and size of the configuration in force',
		examples: [
			['Print the configuration status as JSON', '$0 config status --json'],
		],
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const status = await client.status.query();
		this.print(status, describeConfig(status));
		return status.isReady ? exitCodes.success : exitCodes.failure;
	}
}
