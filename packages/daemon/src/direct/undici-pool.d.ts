/** The pool alone: the package's main module also loads what an entry does not use, at every start. */
declare module 'undici/lib/dispatcher/pool.js' {
	import {Pool} from 'undici';

	export default Pool;
}
