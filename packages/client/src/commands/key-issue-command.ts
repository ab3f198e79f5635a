import type {IssueKeyResult} from '@balsamtray/protocol';
import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Issues a key to a customer. */
export class KeyIssueCommand extends ChangeCommand {
	static override readonly paths = [['key', 'issue']];

	static override readonly usage = Command.Usage({
		category: 'Keys',
		description: 'Issue a key to a customer; the key is shown only once',
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

/** Describes the issued key. Includes the key if the outcome is unknown, so the operator can withdraw it. */
function describeKey(issued: IssueKeyResult): readonly string[] {
	const {result, keyId, key} = issued;
	if (result.kind !== 'accepted' && result.kind !== 'outcomeUnknown') {
		return [];
	}

	const name = `key identifier ${keyId}`;
	return key === undefined
		? [name]
		: [name, `key ${key}`, 'This key will not be shown again.'];
}
