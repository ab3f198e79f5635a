import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Gives a drained backend server work again. */
export class ServerUndrainCommand extends ChangeCommand {
	static override readonly paths = [['server', 'undrain']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description: 'Give a drained backend server work again',
		examples: [
			['Give a backend server work again', '$0 server undrain engine-07'],
		],
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
