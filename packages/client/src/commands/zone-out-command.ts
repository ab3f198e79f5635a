import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Takes an availability zone out: no new work is sent to it. */
export class ZoneOutCommand extends ChangeCommand {
	static override readonly paths = [['zone', 'out']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description: 'Take an availability zone out: no new work is sent to it',
		examples: [['Take a zone out', '$0 zone out lake-1 --yes']],
	});

	readonly zone = Option.String({name: 'ZONE'});

	protected override async call(client: OperatorClient): Promise<number> {
		const isConfirmed = await this.confirm(
			`Zone ${this.zone} will receive no new work.`,
			this.shouldSkipPrompt,
		);
		if (!isConfirmed) {
			return this.reportDeclined();
		}

		const result = await client.zoneOut.mutate({
			changeId: this.changeId,
			zone: this.zone,
		});
		return this.reportChange(result);
	}
}
