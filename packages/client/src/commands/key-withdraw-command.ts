import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Withdraws a key permanently. */
export class KeyWithdrawCommand extends ChangeCommand {
	static override readonly paths = [['key', 'withdraw']];

	static override readonly usage = Command.Usage({
		category: 'Keys',
		description: 'Withdraw a key permanently',
		examples: [['Withdraw a key', '$0 key withdraw 1f0c9d2ab3e45678 --yes']],
	});

	readonly keyId = Option.String({name: 'KEY-ID'});

	protected override async call(client: OperatorClient): Promise<number> {
		const isConfirmed = await this.confirm(
			`Key ${this.keyId} will be withdrawn permanently.`,
			this.shouldSkipPrompt,
		);
		if (!isConfirmed) {
			return this.reportDeclined();
		}

		const result = await client.withdrawKey.mutate({
			changeId: this.changeId,
			keyId: this.keyId,
		});
		return this.reportChange(result);
	}
}
