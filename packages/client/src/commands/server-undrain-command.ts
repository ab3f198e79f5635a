import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Undrains a backend server: new work is sent to it again. */
export class ServerUndrainCommand extends ChangeCommand {
	static override readonly paths = [['server', 'undrain']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description: 'Send new work to a drained backend server again',
		examples: [['Undrain a backend server', '$0 server undrain engine-07']],
	});

	readonly server = Option.String({name: 'SERVER'});

	protected override async call(client: OperatorClient): Promise<number> {
		const result = await client.undrainServer.mutate({
			changeId: this.changeId,
			server: this.server,
		});
		return this.reportChange(result);
	}
}
