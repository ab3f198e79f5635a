import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Drains a backend server: no new work is sent to it. */
export class ServerDrainCommand extends ChangeCommand {
	static override readonly paths = [['server', 'drain']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description: 'Drain a backend server: no new work is sent to it',
		examples: [['Drain a backend server', '$0 server drain engine-07 --yes']],
	});

	readonly server = Option.String({name: 'SERVER'});

	protected override async call(client: OperatorClient): Promise<number> {
		const isConfirmed = await this.confirm(
			`Backend server ${this.server} will receive no new work.`,
			this.shouldSkipPrompt,
		);
		if (!isConfirmed) {
			return this.reportDeclined();
		}

		const result = await client.drainServer.mutate({
			changeId: this.changeId,
			server: this.server,
		});
		return this.reportChange(result);
	}
}
