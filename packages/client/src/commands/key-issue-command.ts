import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Issues a key. */
export class KeyIssueCommand extends ChangeCommand {
	static override readonly paths = [['key', 'issue']];

	static override readonly usage = Command.Usage({
		category: 'Keys',
		description: 'Issue a key to a customer and show it once',
		examples: [['Issue a key', '$0 key issue lakeshore']],
	});

	readonly customer = Option.String({name: 'CUSTOMER'});

	protected override async call(client: OperatorClient): Promise<number> {
		const issued = await client.issueKey.mutate({
			changeId: this.changeId,
			customer: this.customer,
		});
		const lines =
			issued.key === undefined
				? [`key identifier ${issued.keyId}`]
				: [
						`key identifier ${issued.keyId}`,
						`key ${issued.key}`,
						'The key is not shown again.',
					];
		return this.reportChange(issued.result, lines, issued);
	}
}
