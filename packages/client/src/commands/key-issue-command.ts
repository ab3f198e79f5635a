import type {IssueKeyResult} from '@balsamtray/protocol';
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
		return this.reportChange(issued.result, describeKey(issued), issued);
	}
}

/** A key of unknown outcome is named too, so that it can be withdrawn. */
function describeKey(issued: IssueKeyResult): readonly string[] {
	const {result, keyId, key} = issued;
	if (result.kind !== 'accepted' && result.kind !== 'outcomeUnknown') {
		return [];
	}

	const name = `key identifier ${keyId}`;
	return key === undefined
		? [name]
		: [name, `key ${key}`, 'The key is not shown again.'];
}
