import {Command} from 'clipanion';
import {exitCodes} from '../exit-codes.js';
import type {OperatorClient} from '../operator-client.js';
import {describeConfig, describeFleet} from '../status-report.js';
import {OperatorCommand} from './operator-command.js';

/** Shows the fleet as one entry sees it. */
export class StatusCommand extends OperatorCommand {
	static override readonly paths = [['status']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description: 'Show zones, hosts and configuration as seen by one entry',
		examples: [['Print the fleet status as JSON', '$0 status --json']],
	});

	protected override async call(client: OperatorClient): Promise<number> {
		const status = await client.status.query();
		this.print(status, [...describeConfig(status), ...describeFleet(status)]);
		return status.isReady ? exitCodes.success : exitCodes.failure;
	}
}
