import {formatFault, type ChangeResult} from '@balsamtray/protocol';
import {exitCodes} from './exit-codes.js';

/** Describes the outcome of a change, one string per line. */
export function describeChange(result: ChangeResult): readonly string[] {
	switch (result.kind) {
		case 'accepted': {
			return [`accepted as version ${result.version}`];
		}

		case 'unchanged': {
			return [`no changes; current version is ${result.version}`];
		}

		case 'conflict': {
			const {version, author, summary} = result.winner;
			return [
				`not accepted: conflicts with a change by ${author}: version ${version} (${summary})`,
				'Create a new plan and apply it.',
			];
		}

		case 'invalid': {
			return result.faults.map(fault => formatFault(fault));
		}

		case 'digestMismatch': {
			return [
				'not accepted: the document differs from the one in the trial environment',
				`expected digest ${result.expected}`,
				`actual digest ${result.actual}`,
			];
		}

		case 'unknownSubject': {
			return [
				`not accepted: ${result.subject.replace(':', ' ')} does not exist`,
			];
		}

		case 'unavailable': {
			return [
				`not accepted: ${result.message} (step ${result.step}, peer ${result.peer})`,
			];
		}

		case 'outcomeUnknown': {
			return [
				`outcome unknown: the store timed out`,
				`Check whether "balsamtray config history" lists change ${result.changeId}.`,
			];
		}
	}
}

/** Returns the exit code for the outcome of a change. */
export function exitCodeOf(result: ChangeResult): number {
	switch (result.kind) {
		case 'accepted':
		case 'unchanged': {
			return exitCodes.success;
		}

		case 'conflict': {
			return exitCodes.conflict;
		}

		case 'invalid':
		case 'unknownSubject': {
			return exitCodes.usage;
		}

		case 'digestMismatch': {
			return exitCodes.failure;
		}

		case 'unavailable': {
			return exitCodes.unreachable;
		}

		case 'outcomeUnknown': {
			return exitCodes.outcomeUnknown;
		}
	}
}
