import {Command, Option} from 'clipanion';
import type {OperatorClient} from '../operator-client.js';
import {ChangeCommand} from './change-command.js';

/** Brings an availability zone back in: new work is sent to it again. */
export class ZoneInCommand extends ChangeCommand {
	static override readonly paths = [['zone', 'in']];

	static override readonly usage = Command.Usage({
		category: 'Fleet',
		description:
			'Bring an availability zone back in: new work is sent to it again',
		examples: [['Bring a zone back in', '$0 zone in lake-1']],
	});

	readonly zone = Option.String({name: 'ZONE'});

	protected override async call(client: OperatorClient): Promise<number> {
		const result = await client.zoneIn.mutate({
			changeId: this.changeId,
			zone: this.zone,
		});
		return this.reportChange(result);
	}
}
